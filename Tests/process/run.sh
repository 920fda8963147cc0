#!/usr/bin/env bash
# Process tests: failures of real processes and connections under load. Checks
# compare counts only, never measured times.
# Usage: run.sh [CASE...]; needs the built programs in WISTERIAHATCH_BIN.
set -uo pipefail
cd "$(dirname "$0")/../.."
fleet_bin="${WISTERIAHATCH_BIN:-$PWD/Build/bin}"
. Meta/fleet.sh
. Tests/process/checks.sh
. Tests/process/malformed_input.sh
. Tests/process/gateway.sh
. Tests/process/caller_memory.sh
. Tests/process/caller_crowds.sh
trap fleet_stop EXIT

document=Examples/blue_mahoe.ini
fleet_upstream_flags=(--latency_ms=4)
fleet_entry_lines=('[shutdown]' 'drain_grace_ms = 1500')

# Guards against runs that execute twice or change their outcome when an entry
# is killed: callers repeat half of their requests through another entry.
case_kill_entry() {
    fleet_start "$document" 3 || return 1
    start_load runs receipt-desk label 40 6 --repeat=0.5
    sleep 2
    fleet_signal entry-2 KILL
    finish_load
    expect "runs executed twice" "$(double_runs receipt-desk)" -eq 0
    expect "outcome violations" "$(load_violations)" -eq 0
    expect "runs done" "$(jq '[.classes[].outcomes.done] | add' <<<"$load_report")" -gt 50
}

# Guards against losing coverage when one replica of each group dies.
case_kill_upstreams() {
    fleet_split="-a$"
    fleet_start "$document" 2 || return 1
    start_load queries counter-quote counter 60 6
    sleep 2
    fleet_signal split-counter-quote KILL
    finish_load
    expect "queries without a complete answer" "$(incomplete_answers)" -eq 0
}

# Guards against executing a request after its deadline: the deadline passes
# while the entry is stopped by SIGSTOP.
case_pause_entry() {
    fleet_start "$document" 2 || return 1
    local id body first second
    id=$(issue_run_id 1 receipt-desk)
    fleet_signal entry-1 STOP
    body=$(run_body "$id" receipt-desk label 800)
    first=$(curl -s --max-time 2 -X POST http://$fleet_net.2.1:8080/v1/run -d "$body")
    fleet_signal entry-1 CONT
    sleep 2
    second=$(post_run 2 "$body")
    expect "executions of a run that arrived during a pause" \
        "$(executions receipt-desk "$id")" -eq 0
    expect "outcome is not_run" "$(jq -r .outcome <<<"$second" | grep -c not_run)" -eq 1
    expect "answers given during the pause" "$(grep -c . <<<"$first")" -eq 0
}

# Guards against cutting requests during a graceful shutdown.
case_stop_entry() {
    fleet_start "$document" 3 || return 1
    start_load queries counter-quote counter 60 6
    sleep 2
    fleet_signal entry-3 TERM
    fleet_join entry-3
    expect "exit status" "$?" -eq 0
    finish_load
    expect "cut requests" "$(jq '[.classes[].cut] | add' <<<"$load_report")" -eq 0
    expect "queries without a complete answer" "$(incomplete_answers)" -eq 0
}

# Guards against incomplete answers when open connections go silent: new
# connections work, so every shard is covered once the entries have noticed.
case_silent_connections() {
    fleet_silenced=1
    fleet_start "$document" 2 || return 1
    start_load queries counter-quote counter 60 10
    sleep 2
    curl -sf -o /dev/null --max-time 2 -X POST -d '{"silence_existing":true}' \
        http://$fleet_net.4.1:9790/control
    finish_load
    expect "queries without a complete answer" "$(incomplete_answers)" -eq 0
}

# Guards against an instance that can't be replaced while the configuration
# service is down: the new one gets document and directory from its peers.
case_platform_down_at_start() {
    fleet_start "$document" 2 || return 1
    fleet_signal platform KILL
    fleet_entry 3 3 "${fleet_entry_lines[@]}"
    fleet_wait http://$fleet_net.2.3:8081/ready
    expect "new entry is ready" "$?" -eq 0
    expect "complete answers of the new entry" "$(complete_queries 3 20)" -eq 20
    expect "serial at the new entry" "$(document_serial 3)" -eq 1
}

# Guards against serving without any configuration.
case_no_configuration() {
    fleet_platform=$fleet_net.3.9:9000
    fleet_start_bare "$document"
    fleet_entry 1 1 "${fleet_entry_lines[@]}"
    fleet_wait http://$fleet_net.2.1:8081/live
    sleep 4
    expect "ready status" \
        "$(curl -s -o /dev/null -w '%{http_code}' http://$fleet_net.2.1:8081/ready)" -eq 503
    expect "refusals" "$(query 1 counter-quote counter | grep -c no_configuration)" -eq 1
}

# Guards against a document change that reverts or does not reach an instance
# while all instances are replaced one after the other.
case_rolling_replacement() {
    local number
    fleet_start "$document" 3 || return 1
    publish_with_serial 2
    start_load runs receipt-desk label 30 16 --repeat=0.3
    for number in 1 2 3; do
        fleet_signal "entry-$number" TERM
        fleet_join "entry-$number"
        expect "exit status of entry $number" "$?" -eq 0
        fleet_entry "$number" 3 "${fleet_entry_lines[@]}"
        fleet_wait "http://$fleet_net.2.$number:8081/ready"
        expect "serial after replacing entry $number" "$(document_serial "$number")" -eq 2
    done
    finish_load
    expect "runs executed twice" "$(double_runs receipt-desk)" -eq 0
    expect "outcome violations" "$(load_violations)" -eq 0
    expect "cut requests" "$(jq '[.classes[].cut] | add' <<<"$load_report")" -eq 0
}

# Guards against instances that end with different documents after two
# operators publish at once, and against an old document coming back.
case_operators_race() {
    local number digests
    fleet_start "$document" 3 || return 1
    publish_with_serial 5 "first operator"
    publish_with_serial 5 "second operator"
    publish_with_serial 3 "an old document"
    sleep 3
    digests=$(for number in 1 2 3; do document_digest "$number"; done | sort -u)
    expect "digests in force" "$(wc -l <<<"$digests")" -eq 1
    expect "instances at serial 5" \
        "$(for number in 1 2 3; do document_serial "$number"; done | grep -c '^5$')" -eq 3
}

# Guards against new work for an upstream that the directory lists as leaving.
case_leaving_upstream() {
    local before after
    fleet_start "$document" 2 || return 1
    start_load queries counter-quote counter 60 9
    sleep 2
    fleet_instances 2 2 |
        jq '(.instances[] | select(.name == "cq-00-a")).state = "leaving"' |
        curl -sf -o /dev/null --max-time 2 -X PUT --data-binary @- "http://$platform/instances"
    sleep 3
    before=$(searches_started counter-quote cq-00-a)
    finish_load
    after=$(searches_started counter-quote cq-00-a)
    expect "searches before leaving" "$before" -gt 0
    expect "searches started 3 s after leaving" "$((after - before))" -eq 0
    expect "queries without a complete answer" "$(incomplete_answers)" -eq 0
}

# Guards against instances that together open more connections than a server
# accepts, including while killed instances are being replaced.
case_connection_limit() {
    local number limited
    limited=$(mktemp)
    sed 's/^connections = .*/connections = 6/; s/^max_entry_instances = .*/max_entry_instances = 6/' \
        "$document" >"$limited"
    # Slow enough that ten requests per server would be in flight without the limit.
    local fleet_upstream_flags=(--latency_ms=200)
    fleet_start "$limited" 3 || return 1
    start_load queries counter-quote counter 150 9
    for number in 1 2 3; do
        sleep 1
        fleet_signal "entry-$number" KILL
        fleet_join "entry-$number" 2>/dev/null
        fleet_entry "$number" 3 "${fleet_entry_lines[@]}"
        fleet_wait "http://$fleet_net.2.$number:8081/ready"
    done
    finish_load
    expect "connections refused by upstreams" "$(refused_connections counter-quote)" -eq 0
    rm -f "$limited"
}

all_cases=(kill_entry kill_upstreams pause_entry stop_entry silent_connections
    platform_down_at_start no_configuration rolling_replacement operators_race
    leaving_upstream connection_limit malformed_requests malformed_replies
    gateway_leaving_signal gateway_pause_signal gateway_both_signals
    gateway_stop gateway_late_requests gateway_peers gateway_partitioned_reader gateway_evacuation
    gateway_evacuation_mixed gateway_malformed gateway_cold_servers
    gateway_caller_memory entry_caller_memory
    gateway_crowd_behind gateway_crowd_unread gateway_crowd_descriptors
    gateway_crowd_complete gateway_crowd_parts gateway_crowd_addresses
    gateway_crowd_upstreams
    gateway_crowd_again gateway_crowd_frozen gateway_crowd_stop
    gateway_crowd_soak entry_crowds)
# Cases with an entry "test: NAME" in KNOWN-RED.txt run only when named.
if [ "$#" -eq 0 ]; then
    for name in "${all_cases[@]}"; do
        grep -qx "test: $name" KNOWN-RED.txt || set -- "$@" "$name"
    done
fi
for name in "$@"; do
    run_case "$name"
done
echo "process tests: $cases_passed passed, $cases_failed failed"
[ "$cases_failed" -eq 0 ]
