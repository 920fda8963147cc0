# Process tests for input that breaks the interfaces; sourced by run.sh.

# Prints "STATUS KIND" of the answer to the body on standard input.
# Usage: rejection ENTRY PATH
rejection() {
    curl -s --max-time 6 -X POST -w '\n%{http_code}' --data-binary @- \
        "http://$fleet_net.2.$1:8080$2" |
        jq -rs '"\(.[1]) \(.[0].error)"'
}

# Sub-requests that the upstreams of the services received.
# Usage: received SERVICE...
received() {
    local service
    for service in "$@"; do
        curl -s --max-time 5 "http://$(fleet_admin "$service")/counters"
    done | jq -s '[.[][].received] | add'
}

# Sends one rejected request and checks that it was answered with the typed
# error, that no upstream worked for it, and that the entry still answers.
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
# reaches an upstream, or ends the process.
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
    expect_rejection "a run id never issued" /v1/run \
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

# Sets a control of every upstream of a service, sends one request and checks
# its answer, resets the control, and checks that the next request is answered.
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
    # Each shard asks each of its three replicas at most once.
    expect "sub-requests with $1" "$(($(received counter-quote) - before))" \
        -le "$((3 * shards))"
    fleet_control counter-quote null "$3"
    expect "complete answers after $1" "$(complete_queries 1 1)" -eq 1
}

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
# reply that costs more than its own request.
case_malformed_replies() {
    local id_on='{"wrong_request_id":true}' id_off='{"wrong_request_id":false}'
    local cut_on='{"truncate_replies":true}' cut_off='{"truncate_replies":false}'
    # The limit of a reply is 4 MiB.
    local size_on='{"oversize_bytes":5000000}' size_off='{"oversize_bytes":0}'
    fleet_start "$document" 1 || return 1
    expect "complete answers before" "$(complete_queries 1 1)" -eq 1
    expect_lost_query "wrong request ids" "$id_on" "$id_off"
    expect_lost_query "wrong versions" '{"wrong_version":true}' '{"wrong_version":false}'
    expect_lost_query "wrong shards" '{"wrong_shard":true}' '{"wrong_shard":false}'
    expect_lost_query "truncated replies" "$cut_on" "$cut_off"
    expect_lost_query "oversized replies" "$size_on" "$size_off"
    expect_unknown_run "wrong request ids" "$id_on" "$id_off"
    expect_unknown_run "truncated replies" "$cut_on" "$cut_off"
    expect_unknown_run "oversized replies" "$size_on" "$size_off"
}
