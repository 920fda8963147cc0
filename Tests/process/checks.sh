# Assertions and counts used by the process tests; sourced by run.sh.

cases_passed=0
cases_failed=0
checks_failed=0
load_report=""

# Runs one case with a fleet of its own.
run_case() {
    checks_failed=0
    fleet_split=""
    fleet_silenced=""
    fleet_platform=""
    "case_$1" || checks_failed=$((checks_failed + 1))
    fleet_stop
    expect "programs with a sanitizer report" "$(sanitizer_reports)" -eq 0
    if [ "$checks_failed" -eq 0 ]; then
        cases_passed=$((cases_passed + 1))
        echo "passed: $1"
        rm -rf "$fleet_work"
    else
        cases_failed=$((cases_failed + 1))
        echo "FAILED: $1 (logs in $fleet_work)"
    fi
}

# Prints how many log files of the case contain a sanitizer report. Leaks and
# errors during shutdown are reported only there.
sanitizer_reports() {
    grep -lE 'runtime error:|ERROR: [A-Za-z]+Sanitizer|WARNING: ThreadSanitizer' \
        "$fleet_work"/*.log | grep -c .
}

# Usage: expect WHAT ACTUAL OPERATOR EXPECTED, with an operator of test(1).
expect() {
    if ! [ "$2" "$3" "$4" ]; then
        echo "  $1: $2, expected $3 $4"
        checks_failed=$((checks_failed + 1))
    fi
    return 0
}

# Starts the load driver in the background.
# Usage: start_load MODE SERVICE CLASS RATE SECONDS [ARGUMENT...]
start_load() {
    local mode="$1" service="$2" class="$3" load_rate="$4" load_seconds="$5" count
    shift 5
    count=$(ls "$fleet_work"/entry-*.ini | wc -l)
    "$fleet_bin/wisteriahatch-load" --mode="$mode" --service="$service" \
        --rate="$class:$load_rate" --duration_s="$load_seconds" --warmup_s=0 \
        --deadline_ms=4000 --output=json \
        --entries="$(seq -f "$fleet_net.2.%.0f:8080" "$count" | paste -sd, -)" \
        --admin_ports="$(seq -f "$fleet_net.2.%.0f:8081" "$count" | paste -sd, -)" \
        "$@" >"$fleet_work/load.json" 2>"$fleet_work/load.log" &
    load_pid=$!
}

finish_load() {
    wait "$load_pid"
    load_report=$(tail -1 "$fleet_work/load.json")
}

# Prints the number of requests without a complete answer.
incomplete_answers() {
    jq '[.classes[] | .requests - ((.complete_ratio // 0) * .answers | round)] | add' \
        <<<"$load_report"
}

load_violations() {
    jq '[.violations[]] | add // 0' <<<"$load_report"
}

# Prints the number of runs of a service that were executed more than once, by
# one upstream or by several. Usage: double_runs SERVICE
double_runs() {
    curl -s --max-time 5 "http://$(fleet_admin "$1")/counters" |
        jq '[.[].runs | to_entries[]] | group_by(.key) |
            map(map(.value) | add | select(. > 1)) | length'
}

# Usage: executions SERVICE RUN_ID
executions() {
    curl -s --max-time 5 "http://$(fleet_admin "$1")/counters" |
        jq --arg id "$2" '[.[].runs[$id] // 0] | add'
}

refused_connections() {
    curl -s --max-time 5 "http://$(fleet_admin "$1")/counters" |
        jq '[.[].connections_refused] | add'
}

searches_started() {
    curl -s --max-time 5 "http://$(fleet_admin "$1")/counters" |
        jq --arg name "$2" '.[$name].searches_started'
}

# Usage: issue_run_id ENTRY SERVICE
issue_run_id() {
    curl -s --max-time 2 -X POST "http://$fleet_net.2.$1:8080/v1/run-ids" \
        -d "{\"service\":\"$2\"}" | jq -r .run_id
}

# Usage: run_body RUN_ID SERVICE CLASS DEADLINE_MS
run_body() {
    jq -cn --arg id "$1" --arg service "$2" --arg class "$3" --argjson deadline "$4" \
        '{run_id: $id, service: $service, class: $class, payload: "reprint",
          deadline_ms: $deadline}'
}

post_run() {
    curl -s --max-time 6 -X POST "http://$fleet_net.2.$1:8080/v1/run" -d "$2"
}

# Usage: query ENTRY SERVICE CLASS
query() {
    curl -s --max-time 5 -X POST "http://$fleet_net.2.$1:8080/v1/query" \
        -d "{\"service\":\"$2\",\"class\":\"$3\",\"query\":\"parcel\"}"
}

# Sends COUNT queries and prints how many got a complete answer.
# Usage: complete_queries ENTRY COUNT
complete_queries() {
    local number
    for number in $(seq "$2"); do
        query "$1" counter-quote counter
        echo
    done | grep -c '"complete":true'
}

document_serial() {
    curl -s --max-time 2 "http://$fleet_net.2.$1:8081/status" | jq .document_serial
}

document_digest() {
    curl -s --max-time 2 "http://$fleet_net.2.$1:8081/status" | jq -r .document_digest
}

# Publishes the document with another serial. Usage: publish_with_serial N [COMMENT]
publish_with_serial() {
    sed "s/^serial *=.*/serial = $1/; \$a ; ${2:-changed}" "$fleet_document" |
        curl -sf -o /dev/null --max-time 2 -X PUT --data-binary @- "http://$platform/document"
}

# Prepares the work folder without starting anything. Usage: fleet_start_bare DOCUMENT
fleet_start_bare() {
    fleet_document="$1"
    fleet_work=$(mktemp -d)
    fleet_replicas "$1" >"$fleet_work/replicas"
}
