# Process tests of wisteriahatch-gateway with stand-ins of the platform; sourced
# by run.sh and demo.sh.

# Writes the settings of gateway N and starts it. Usage: gateway_start N
gateway_start() {
    cat >"$fleet_work/gateway-$1.ini" <<SETTINGS
[instance]
name = gateway-$1
failure_domain = z$1
caller_address = $fleet_net.5.$1:8080
ready_address = $fleet_net.5.$1:8081
metrics_address = $fleet_net.5.$1:8083
[peers]
address = $fleet_net.5.$1:8082
seeds = $fleet_net.5.1:8082,$fleet_net.5.2:8082
[store]
address = $gateway_store
[shutdown]
grace_s = 4
SETTINGS
    fleet_spawn "gateway-$1" "$fleet_bin/wisteriahatch-gateway" \
        --settings="$fleet_work/gateway-$1.ini"
}

# Sends a POST request to the store. Usage: store_post PATH_AND_QUERY [BODY]
store_post() {
    curl -sf -o /dev/null --max-time 2 -X POST -d "${2:-}" "http://$gateway_store$1"
}

# Publishes routes "/p/" (idempotent) and "/once/" to the service "plain", and
# "/q/" scattered over three services. Usage: gateway_config VERSION
gateway_config() {
    store_post "/put?key=op/config" "$(jq -cn --argjson version "$1" '
        {host: "h", timeoutMs: 4000, targetLatencyMs: 2000, priority: 1,
         maxAttempts: 2, routeKind: "idempotent"} as $route |
        {version: $version, limits: {},
         services: [{name: "plain", healthPath: "/health", maxConns: 800}],
         routes: [$route + {name: "p", prefix: "/p/", service: "plain"},
                  $route + {name: "once", prefix: "/once/", service: "plain",
                            routeKind: "non_idempotent"},
                  $route + {name: "q", prefix: "/q/", topK: 5,
                            gather: ["s1", "s2", "s3"], minShardRatio: 0.6}]}')"
}

# Starts the store, two servers of "plain", one of each shard, and two gateways.
# Usage: gateway_fleet [SERVER_ARGUMENT...]
gateway_fleet() {
    fleet_work=$(mktemp -d)
    gateway_store=$fleet_net.3.2:9600
    fleet_spawn store "$fleet_bin/stand-in-store" --listen="$gateway_store"
    until store_post "/mode?name=normal"; do sleep 0.1; done
    local list="" service number=0
    for service in plain plain s1 s2 s3; do
        number=$((number + 1))
        list+="${list:+,}i-$number@$fleet_net.1.2:$((9700 + number))"
        store_post "/put?key=servers/i-$number" "$(jq -cn --arg service "$service" \
            --arg address "$fleet_net.1.2:$((9700 + number))" '
            {service: $service, address: $address, zone: "z1", version: "v1",
             capacity: 3, state: "ready", warmupLeftMs: 0, sequence: 1}')"
    done
    fleet_spawn servers "$fleet_bin/stand-in-server" --servers="$list" "$@"
    gateway_config 1
    gateway_start 1
    gateway_start 2
    fleet_wait "http://$fleet_net.5.1:8081/ready" || return 1
    fleet_wait "http://$fleet_net.5.2:8081/ready"
}

# Sends one request and prints its status. Usage: gateway_ask N METHOD PATH
gateway_ask() {
    curl -s -o /dev/null --max-time 5 -w '%{http_code}\n' -X "$2" -H "Host: h" \
        -H "Request-Id: r-$RANDOM$RANDOM" -H "Deadline-Ms: 3000" \
        "http://$fleet_net.5.$1:8080$3"
}

# Guards against a graceful shutdown that cuts requests or exceeds its grace
# period, and against a reload that terminates the process.
case_gateway_stop() {
    gateway_fleet --delay_ms=400 || return 1
    fleet_signal gateway-2 HUP
    local request
    for request in $(seq 20); do
        gateway_ask 1 POST /once/x >>"$fleet_work/answers" &
        request_pids[$request]=$!
    done
    sleep 0.2
    fleet_signal gateway-1 TERM
    wait "${request_pids[@]}"
    fleet_join gateway-1
    expect "exit status" "$?" -eq 0
    expect "answers 200 during the shutdown" "$(grep -c '^200' "$fleet_work/answers")" -eq 20
    expect "answer after the reload" "$(gateway_ask 2 GET /p/x)" -eq 200
    expect "reloads" "$(grep -c event=reloaded "$fleet_work/gateway-2.log")" -eq 1
}

# Guards against an instance that can't start while the store is down, or that
# starts with an outdated configuration: its peers have the current one.
case_gateway_peers() {
    gateway_fleet || return 1
    gateway_config 2
    sleep 2
    fleet_signal store KILL
    gateway_start 3
    fleet_wait "http://$fleet_net.5.3:8081/ready"
    expect "third gateway is ready" "$?" -eq 0
    expect "answer of the third gateway" "$(gateway_ask 3 GET /p/x)" -eq 200
    expect "merged answer of the third gateway" "$(gateway_ask 3 GET /q/x)" -eq 200
    expect "configuration version of the third gateway" "$(curl -s --max-time 2 "http://$fleet_net.5.3:8083/metrics" |
        awk '$1 == "wisteriahatch_routes_version" { print $2 }')" -eq 2
}

# Guards against malformed bytes from a caller that terminate the process or
# smuggle in a second request.
case_gateway_malformed() {
    gateway_fleet || return 1
    local bytes
    for bytes in 'NONSENSE\r\n\r\n' 'GET /p/ HTTP/9.9\r\n\r\n' '\x00\xff\x16\x03' \
        'POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef' \
        'POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/ HTTP/1.1\r\n\r\n' \
        'GET /p/x HTTP/1.1\r\nHost: h\r\n folded: 1\r\n\r\n'; do
        printf "$bytes" | timeout 2 bash -c \
            "exec 3<>/dev/tcp/$fleet_net.5.1/8080; cat >&3; head -c 300 <&3" >>"$fleet_work/replies" 2>&1
    done
    expect "answer after malformed requests" "$(gateway_ask 1 GET /p/x)" -eq 200
    expect "runs of smuggled requests" \
        "$(grep -c 'route=once' "$fleet_work/gateway-1.log")" -eq 0
}
