#!/usr/bin/env bash
# Measures answer times, goodput and upstream load in overload and fault scenarios
# with entry instances and stand-ins on loopback. Prints one CSV line per run and
# class.
# Usage: measure.sh [--entries N] [--lines "SETTINGS_LINE;..."] [--label TEXT]
#                   [--rate QUERIES_PER_S] [--seconds S] [--seed N] SCENARIO...
#                   [--workers N] [--latency_ms MS] [--latency_model MODEL]
# Scenarios: calm, straggler, domain_lost, overload, overload_classes,
# version_change, one_shard.
set -uo pipefail
cd "$(dirname "$0")/.."
fleet_bin="${fleet_bin:-$PWD/Build/bin}"
. Meta/fleet.sh
trap fleet_stop EXIT

entries=8
rate=200
seconds=20
seed=1
label=default
latency_ms=20
latency_model=exponential
fleet_entry_lines=()
while [ "${1#--}" != "$1" ]; do
    case "$1" in
    --entries) entries="$2" ;;
    --rate) rate="$2" ;;
    --seconds) seconds="$2" ;;
    --seed) seed="$2" ;;
    --workers) fleet_workers="$2" ;;
    --latency_ms) latency_ms="$2" ;;
    --latency_model) latency_model="$2" ;;
    --label) label="$2" ;;
    --lines) IFS=';' read -r -a fleet_entry_lines <<<"$2" ;;
    *) echo "unknown option $1; see the head of this script" >&2 && exit 2 ;;
    esac
    shift 2
done

# 20 ms mean service time and 30 servers of 3 slots: each group of 3 servers
# handles 9 sub-requests at once, so the service can answer 450 queries/s.
service=counter-quote
class=counter
# Prints the names of the service's replicas, as a JSON array, whose fields in
# the output of fleet_replicas match an awk condition.
replicas_where() {
    awk -F'|' -v s="$service" "\$1 == s && ($1) { print \$4 }" "$fleet_work/replicas" |
        jq -R -s -c 'split("\n") | map(select(. != ""))'
}

# Usage: run_load QUERIES_PER_S SECONDS
run_load() {
    local callers admins counters
    callers=$(seq -f "$fleet_net.2.%.0f:8080" "$entries" | paste -sd, -)
    admins=$(seq -f "$fleet_net.2.%.0f:8081" "$entries" | paste -sd, -)
    counters=$(awk -F'|' -v s="$service" '$1 == s { print $6 }' "$fleet_work/replicas" | paste -sd, -)
    "$fleet_bin/wisteriahatch-load" --entries="$callers" --admin_ports="$admins" \
        --service="$service" --rate="${class_rates:-$class:$1:800}" --duration_s="$2" --warmup_s=4 \
        --seed="$seed" --connections=512 --upstream_counters="$counters" --output=json |
        tail -1
}

# Prints the CSV line of a load report.
# Usage: print_line SCENARIO RATE REPORT ENTRY_PROCESSOR_MS
print_line() {
    jq -r --arg label_text "$label" --arg scenario "$1" --arg rate "$2" --arg entries "$entries" --argjson cpu "$4" '
        .classes as $classes | .upstreams as $up |
        $classes | to_entries[] | .value as $c |
        [$label_text, $scenario, .key, $entries, $rate, $c.requests,
         ($c.answer_ms.p50 | . * 10 | round / 10),
         ($c.answer_ms.p99 | . * 10 | round / 10),
         ($c.answer_ms.p99_9 | . * 10 | round / 10),
         ($c.goodput_ratio * 1000 | round / 1000),
         ($c.complete_ratio * 1000 | round / 1000),
         ($up.load_ratio * 1000 | round / 1000), $c.cut,
         ($cpu * 1000 / ($up.searches_started + 1) | round),
         ($c.errors | tojson)] | @csv' <<<"$3"
}

# Processor time of all entry instances so far, in milliseconds.
entry_processor_ms() {
    local name
    for name in "${!fleet_pids[@]}"; do
        [ "${name#entry-}" = "$name" ] || cat "/proc/${fleet_pids[$name]}/stat"
    done | awk -v hertz="$(getconf CLK_TCK)" '{ sum += $14 + $15 } END { print sum * 1000 / hertz }'
}

scenario_calm() {
    run_load "$rate" "$seconds"
}

# The first replica of each group is ten times slower.
scenario_straggler() {
    fleet_control "$service" "$(replicas_where '$4 ~ /-a$/')" '{"straggler_factor":10}'
    run_load "$rate" "$seconds"
}

# Every server of one failure domain refuses all work from the start.
scenario_domain_lost() {
    local domain
    domain=$(head -1 "$fleet_work/replicas" | cut -d'|' -f5)
    fleet_control "$service" "$(replicas_where "\$5 == \"$domain\"")" '{"fail_fast":true}'
    run_load "$rate" "$seconds"
}

# 1.5 times the rate that the service can answer.
scenario_overload() {
    run_load 675 "$seconds"
}

# The same rate, half of it with the lowest priority.
scenario_overload_classes() {
    class_rates="counter:337:800,counter-low:337:800" run_load 675 "$seconds"
}

# A service with one shard: its latency is the service time plus the time that
# the query tier adds.
scenario_one_shard() {
    service=vendor-portal class_rates="vendor-account:$rate:800" run_load "$rate" "$seconds"
}

# During the run all replicas add the next index version, and 4 s later they
# drop the previous one.
scenario_version_change() {
    (
        sleep 8
        fleet_control "$service" "$(replicas_where 1)" "{\"versions\":{\"$service\":[1,2]}}"
        sleep 4
        fleet_control "$service" "$(replicas_where 1)" "{\"versions\":{\"$service\":[2]}}"
    ) &
    local changer=$!
    run_load "$rate" "$seconds"
    wait "$changer"
}

echo "label,scenario,class,entries,rate_s,requests,p50_ms,p99_ms,p99.9_ms,goodput_ratio,complete_ratio,load_ratio,cut,entry_us_per_subrequest,errors"
# The example document with a second index version, in which every shard has
# moved to the next group. The number of shards stays ten, so that the groups
# keep equal load.
source_document=$(mktemp)
{
    cat Examples/blue_mahoe.ini
    printf '\n[class counter-low]\nservice = counter-quote\ndeadline_ms = 800\n'
    printf 'priority = 3\nhedge_budget_percent = 5\nidempotent = yes\n'
    printf '\n[index counter-quote/2]\nshards = '
    seq 0 9 | awk '{ printf "%st%02d@%02d", (NR == 1 ? "" : ", "), $1, ($1 + 1) % 10 } END { print "" }'
} >"$source_document"

for scenario in "$@"; do
    # Every replica holds only version 1 until the scenario changes it.
    fleet_upstream_flags=(--latency_ms="$latency_ms" --latency_model="$latency_model"
        --workers=2 --versions="counter-quote=1")
    fleet_start "$source_document" "$entries" || exit 1
    report=$("scenario_$scenario")
    offered="$rate"
    [ "$scenario" = overload ] && offered=675
    print_line "$scenario" "$offered" "$report" "$(entry_processor_ms)"
    fleet_stop
done
rm -f "$source_document"
