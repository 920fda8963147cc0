# Process tests of malformed requests and replies; sourced by run.sh.

# Posts the body on standard input and prints "STATUS KIND" of the answer.
# Usage: rejection ENTRY PATH
rejection() {
    curl -s --max-time 6 -X POST -w '\n%{http_code}' --data-binary @- \
        "http://$fleet_net.2.$1:8080$2" |
        jq -rs '"\(.[1]) \(.[0].error)"'
}

# Prints the number of sub-requests that the upstreams of the services received.
# Usage: received SERVICE...
received() {
    local service
    for service in "$@"; do
        curl -s --max-time 5 "http://$(fleet_admin "$service")/counters"
    done | jq -s '[.[][].received] | add'
}

# Sends a request that must be rejected and checks that it is answered with the
# typed error, that no upstream receives a sub-request, and that the entry still
# answers queries.
# Usage: expect_rejection WHAT PATH BODY STATUS KIND
expect_rejection() {
    local before answer
    before=$(received counter-quote receipt-desk)
    answer=$(rejection 1 "$2" <<<"$3")
    expect "answer to $1" "$answer" = "$4 $5"
    expect "sub-requests for $1" \
        "$(($(received counter-quote receipt-desk) - before))" -eq 0
    expect "complete answers after $1" "$(complete_queries 1 1)" -eq 1
}

# Guards against a malformed request that is answered without a typed error,
# reaches an upstream, or terminates the process.
case_malformed_requests() {
    local id query run large answer
    fleet_start "$document" 1 || return 1
    id=$(issue_run_id 1 receipt-desk)
    query='"service":"counter-quote","class":"counter","query":"parcel"'
    run='"service":"receipt-desk","class":"label","payload":"reprint"'
    large="{$query,\"padding\":\"$(printf '%01100000d' 0)\"}"
    expect_rejection "broken JSON" /v1/query '{"service":' 400 malformed_request
    expect_rejection "a JSON array" /v1/query '[]' 400 malformed_request
    expect_rejection "a number as service" /v1/query \
        '{"service":1,"class":"counter","query":"parcel"}' 400 malformed_request
    expect_rejection "an oversized body" /v1/query "$large" 413 body_too_large
    expect_rejection "a past deadline" /v1/query \
        "{$query,\"deadline_ms\":-1}" 408 deadline_passed
    expect_rejection "an unknown service" /v1/query \
        '{"service":"none","class":"counter","query":"parcel"}' 404 unknown_service
    expect_rejection "an unknown class" /v1/query \
        '{"service":"counter-quote","class":"none","query":"parcel"}' 404 unknown_class
    expect_rejection "a query of a non-idempotent class" /v1/query \
        '{"service":"receipt-desk","class":"label","query":"parcel"}' 400 not_idempotent
    expect_rejection "a run id for an unknown service" /v1/run-ids \
        '{"service":"none"}' 404 unknown_service
    expect_rejection "a run without run id" /v1/run "{$run}" 400 run_id_required
    expect_rejection "a run with a malformed run id" /v1/run \
        "{\"run_id\":\"1\",$run}" 400 invalid_run_id
    expect_rejection "a run id that was never issued" /v1/run \
        "{\"run_id\":\"${id%/*}/4711\",$run}" 400 invalid_run_id
    expect_rejection "a run with a past deadline" /v1/run \
        "{\"run_id\":\"$id\",$run,\"deadline_ms\":0}" 408 deadline_passed
    answer=$(exec 3<>"/dev/tcp/$fleet_net.2.1/8080" &&
        printf 'no request\r\n\r\n' >&3 && timeout 5 cat <&3)
    expect "answer to bytes that are not HTTP" \
        "$(grep -c '"error":"malformed_request"' <<<"$answer")" -eq 1
    expect "complete answers after bytes that are not HTTP" \
        "$(complete_queries 1 1)" -eq 1
    expect "outcome of the run id after all rejections" \
        "$(post_run 1 "$(run_body "$id" receipt-desk label 4000)" | jq -r .outcome)" = done
    expect "executions of that run" "$(executions receipt-desk "$id")" -eq 1
}

# Makes every upstream of counter-quote reply with a fault, checks that a query
# covers no shard and asks each replica at most once, resets the fault, and
# checks that the next query is answered completely.
# Usage: expect_lost_query WHAT CONTROL_JSON RESET_JSON
expect_lost_query() {
    local before answer shards
    fleet_control counter-quote null "$2"
    before=$(received counter-quote)
    answer=$(query 1 counter-quote counter)
    expect "error for $1" "$(jq -r .error <<<"$answer")" = coverage_below_floor
    expect "covered shards with $1" "$(jq '.covered | length' <<<"$answer")" -eq 0
    shards=$(jq '.lacked | length' <<<"$answer")
    expect "lacked shards with $1" "$shards" -gt 0
    # Each shard has three replicas, and each is asked at most once.
    expect "sub-requests with $1" "$(($(received counter-quote) - before))" \
        -le "$((3 * shards))"
    fleet_control counter-quote null "$3"
    expect "complete answers after $1" "$(complete_queries 1 1)" -eq 1
}

# Makes every upstream of receipt-desk reply with a fault, checks that the
# outcome of a run is unknown, resets the fault, and checks that a repetition
# does not execute the run again and that the next run is done.
# Usage: expect_unknown_run WHAT CONTROL_JSON RESET_JSON
expect_unknown_run() {
    local id body
    id=$(issue_run_id 1 receipt-desk)
    body=$(run_body "$id" receipt-desk label 2000)
    fleet_control receipt-desk null "$2"
    expect "outcome with $1" "$(post_run 1 "$body" | jq -r .outcome)" = unknown
    fleet_control receipt-desk null "$3"
    post_run 1 "$body" >/dev/null
    expect "executions of a run with $1" "$(executions receipt-desk "$id")" -eq 1
    id=$(issue_run_id 1 receipt-desk)
    body=$(run_body "$id" receipt-desk label 2000)
    expect "outcome of the run after $1" "$(post_run 1 "$body" | jq -r .outcome)" = done
}

# Guards against merging a reply that does not belong to the sub-request,
# against repeating a run whose reply was unusable, and against a malformed
# reply that fails more than its own request.
case_malformed_replies() {
    local id_on='{"wrong_request_id":true}' id_off='{"wrong_request_id":false}'
    local truncate_on='{"truncate_replies":true}' truncate_off='{"truncate_replies":false}'
    # Replies are limited to 4 MiB.
    local oversize_on='{"oversize_bytes":5000000}' oversize_off='{"oversize_bytes":0}'
    fleet_start "$document" 1 || return 1
    expect "complete answers before" "$(complete_queries 1 1)" -eq 1
    expect_lost_query "wrong request ids" "$id_on" "$id_off"
    expect_lost_query "wrong versions" '{"wrong_version":true}' '{"wrong_version":false}'
    expect_lost_query "wrong shards" '{"wrong_shard":true}' '{"wrong_shard":false}'
    expect_lost_query "truncated replies" "$truncate_on" "$truncate_off"
    expect_lost_query "oversized replies" "$oversize_on" "$oversize_off"
    expect_unknown_run "wrong request ids" "$id_on" "$id_off"
    expect_unknown_run "truncated replies" "$truncate_on" "$truncate_off"
    expect_unknown_run "oversized replies" "$oversize_on" "$oversize_off"
}
