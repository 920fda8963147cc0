#!/usr/bin/env bash
# Installs packages, builds, starts the stand-ins and three entry instances on
# loopback, sends queries and a non-idempotent request, makes upstreams fail,
# stops an entry gracefully under load, runs two gateways with stand-ins of the
# platform, and stops everything it started.
# The last line of the output is a JSON object with the counts.
set -uo pipefail
cd "$(dirname "$0")/.."
Meta/install_packages.sh || exit 1
Meta/build.sh Build || exit 1
fleet_bin="$PWD/Build/bin"
fleet_upstream_flags=(--latency_ms=3)
fleet_entry_lines=()
. Meta/fleet.sh
. Tests/process/gateway.sh
trap 'fleet_stop' EXIT

queries=0
complete=0
partial=0

# Sends one query and counts whether its answer is complete or partial.
# Usage: send_query ENTRY SERVICE CLASS
send_query() {
    answer=$(curl -s --max-time 5 -X POST "http://$fleet_net.2.$1:8080/v1/query" \
        -d "{\"service\":\"$2\",\"class\":\"$3\",\"query\":\"dial blue\"}")
    queries=$((queries + 1))
    case $(jq -r '.complete' <<<"$answer") in
    true) complete=$((complete + 1)) ;;
    false) partial=$((partial + 1)) ;;
    esac
}

show() {
    jq -c '{index_version, complete, rows: (.rows | length), covered: (.covered | length), lacked, error}' <<<"$answer"
}

echo "== starting the stand-ins of Examples/dialcraft.ini and 3 entry instances"
fleet_start Examples/dialcraft.ini 3 || exit 1

echo "== 60 queries over 3 instances"
for i in $(seq 60); do
    send_query $((i % 3 + 1)) storefront typing-shopper
done
show

echo "== a non-idempotent request, sent twice under one run id to two instances"
run_id=$(curl -s --max-time 5 -X POST http://$fleet_net.2.1:8080/v1/run-ids \
    -d '{"service":"studio"}' | jq -r .run_id)
run_body=$(jq -cn --arg id "$run_id" '{run_id: $id, service: "studio",
    class: "listing", payload: "list dial 4711"}')
curl -s --max-time 6 -X POST http://$fleet_net.2.1:8080/v1/run -d "$run_body"
echo
curl -s --max-time 6 -X POST http://$fleet_net.2.2:8080/v1/run -d "$run_body"
echo

echo "== one upstream of a group fails: its replicas still cover the shard"
group=$(awk -F'|' '$1 == "storefront" { print $4 }' "$fleet_work/replicas" | head -3)
names=$(jq -R -s -c 'split("\n") | map(select(. != ""))' <<<"$group")
fleet_control storefront "$(jq -c '.[0:1]' <<<"$names")" '{"fail_fast":true}'
for i in $(seq 10); do send_query 1 storefront typing-shopper; done
show
echo "== the whole group fails: the answer says which shard it lacks"
fleet_control storefront "$names" '{"fail_fast":true}'
for i in $(seq 10); do send_query 2 storefront typing-shopper; done
show
fleet_control storefront "$names" '{"fail_fast":false}'

echo "== entry 3 stops gracefully under load"
"$fleet_bin/wisteriahatch-load" --entries=$fleet_net.2.1:8080,$fleet_net.2.2:8080,$fleet_net.2.3:8080 \
    --admin_ports=$fleet_net.2.1:8081,$fleet_net.2.2:8081,$fleet_net.2.3:8081 --service=payouts --class=sales-listing --rate=100 \
    --duration_s=12 --warmup_s=0 --output=json >"$fleet_work/load.json" &
load_pid=$!
sleep 2
fleet_signal entry-3 TERM
fleet_join entry-3
entry_status=$?
wait "$load_pid"
jq -c '.classes[] | {requests, answers, goodput, cut, p99_ms: .answer_ms.p99, errors}' "$fleet_work/load.json"
echo "entry 3 ended with status $entry_status"

double_runs=$(while IFS='|' read -r _ port; do
    curl -s --max-time 5 "http://$fleet_net.1.1:$port/counters"
done <"$fleet_work/services" | jq -s '[.[][].runs[]? | select(. > 1)] | length')
cut_requests=$(tail -1 "$fleet_work/load.json" | jq '[.classes[].cut] | add')
load_queries=$(tail -1 "$fleet_work/load.json" | jq '[.classes[].requests] | add')
load_complete=$(tail -1 "$fleet_work/load.json" |
    jq '[.classes[] | .answers * .complete_ratio | round] | add')
load_answers=$(tail -1 "$fleet_work/load.json" | jq '[.classes[].answers] | add')
complete=$((complete + load_complete))
partial=$((partial + load_answers - load_complete))
fleet_stop
rm -rf "$fleet_work"

echo "== two gateways on the platform's stand-ins: a scattered request over 3 services"
gateway_fleet || exit 1
gateway_show() {
    curl -s --max-time 5 -D - -o /dev/null -H 'Host: h' -H "Request-Id: demo-$1" \
        -H 'Deadline-Ms: 3000' "http://$fleet_net.5.$1:8080/q/x" |
        tr -d '\r' | grep -E '^(HTTP|Part-Seals|Missing-Parts)'
}
gateway_show 1
echo "== the server of one shard leaves: the answer says that a part is missing"
curl -sf -o /dev/null -X POST "http://$gateway_store/remove?key=servers/i-5"
sleep 4
gateway_show 2
echo "== how the gateways handled the last request"
"$fleet_bin/wisteriahatch-ctl" explain-request demo-2 "$fleet_work"/gateway-*.log | tail -1

echo "== stopping"
fleet_stop
rm -rf "$fleet_work"
jq -cn --argjson queries "$((queries + load_queries))" --argjson complete "$complete" \
    --argjson partial "$partial" --argjson double_runs "$double_runs" \
    --argjson cut_requests "$cut_requests" --argjson entry_status "$entry_status" \
    '{queries: $queries, complete: $complete, partial: $partial, double_runs: $double_runs,
      cut_requests: $cut_requests, stopped_entry_status: $entry_status}'
[ "$double_runs" -eq 0 ] && [ "$cut_requests" -eq 0 ] && [ "$entry_status" -eq 0 ]
