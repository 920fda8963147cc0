# Process tests of crowds that fill a machine's memory outside the process's own
# buffers, or at a bad moment; sourced by run.sh. The bound is the memory of the
# machine: resident memory and what the kernel holds for the connections
# together stay below `limit_mb`.

crowd_lines=('[memory]' 'limit_mb = 96' 'descriptors = 2048')
crowd_bound_kb=$((96 * 1024))
crowd_descriptor_bound=1700
crowd_connections=1000
# More connections than the descriptors allow for.
crowd_excess_connections=1300

# Prints the highest sum that a crowd has seen once it stops growing.
# Usage: settled_crowd_peak LOG
settled_crowd_peak() {
    local attempt steady=0 last peak=0
    for attempt in $(seq 20); do
        last=$peak
        sleep 0.4
        peak=$(awk '$1 == "peak_kb" { peak = $2 } END { print peak + 0 }' "$1")
        [ "$peak" = "$last" ] && steady=$((steady + 1)) || steady=0
        [ "$steady" -lt 3 ] || break
    done
    echo "$peak"
}

# Starts a crowd against a process. Usage: start_crowd PROCESS ADDRESS CROWD_ARGUMENT...
start_crowd() {
    local pid="${fleet_pids[$1]}" address="$2" attempt
    shift 2
    rm -f "$fleet_work/crowd.log"
    fleet_spawn crowd "$fleet_bin/stand-in-crowd" --watch_pid="$pid" \
        --address="$address" "$@"
    for attempt in $(seq 100); do
        grep -q '^sent' "$fleet_work/crowd.log" 2>/dev/null && break
        sleep 0.1
    done
}

# Compares the memory with the machine's, ends the crowd and sends an ordinary
# request; with $crowd_stays it sends one before the crowd ends, too.
# Usage: finish_crowd PROCESS WHAT
finish_crowd() {
    local pid="${fleet_pids[$1]}" peak descriptors
    peak=$(settled_crowd_peak "$fleet_work/crowd.log")
    descriptors=$(ls "/proc/$pid/fd" | wc -l)
    echo "  $1, $2: $(grep '^peak_kb' "$fleet_work/crowd.log" | tail -1), descriptors $descriptors"
    expect "process that is alive with $2" "$(kill -0 "$pid" && echo yes)" = yes
    expect "peak KB with $2" "$peak" -gt 0
    expect "peak KB with $2" "$peak" -lt "$crowd_bound_kb"
    expect "descriptors with $2" "$descriptors" -lt "$crowd_descriptor_bound"
    [ -z "${crowd_stays:-}" ] || expect "ordinary answer beside $2" \
        "$(crowd_ordinary_with_retries)" = 200
    fleet_signal crowd KILL 2>/dev/null
    fleet_join crowd 2>/dev/null
    expect "ordinary answer after $2" "$(crowd_ordinary)" = 200
}

# Usage: expect_within PROCESS ADDRESS PATTERN CONNECTIONS BYTES [CROWD_ARGUMENT...]
expect_within() {
    local process="$1" address="$2" pattern="$3" connections="$4" bytes="$5"
    shift 5
    start_crowd "$process" "$address" --pattern="$pattern" \
        --connections="$connections" --bytes="$bytes" "$@"
    finish_crowd "$process" "$pattern $*"
}

crowd_ordinary() { gateway_ask 1 GET /p/x; }

# Sends an ordinary request, again after a second while it gets no answer, at most
# $crowd_tries times; prints the last status.
crowd_ordinary_with_retries() {
    local attempt status
    for attempt in $(seq "${crowd_tries:-1}"); do
        status=$(crowd_ordinary)
        [ "$status" != 000 ] && break
        sleep 1
    done
    echo "$status"
}

# Starts the fleet of gateway_fleet with the machine of these tests, and adds a
# route "/w/" that is scattered over 36 services of one server each. Only the
# servers of that route get the arguments, so that a slow one doesn't delay the
# ordinary request. Usage: crowd_fleet [SERVER_ARGUMENT...]
crowd_fleet() {
    local gateway_settings list="" number
    gateway_settings=$(printf '%s\n' "${crowd_lines[@]}")
    gateway_fleet || return 1
    for number in $(seq 36); do
        list+="${list:+,}w-$number@$fleet_net.1.3:$((9700 + number))"
        store_post "/put?key=servers/w-$number" "$(jq -cn --arg service "w$number" \
            --arg address "$fleet_net.1.3:$((9700 + number))" '
            {service: $service, address: $address, zone: "z1", version: "v1",
             capacity: 32, state: "ready", warmupLeftMs: 0, sequence: 1}')"
    done
    fleet_spawn wide-servers "$fleet_bin/stand-in-server" --servers="$list" "$@"
    crowd_config 2
    gateway_until_wide
}

# Publishes the routes of crowd_fleet. Usage: crowd_config VERSION
crowd_config() {
    store_post "/put?key=op/config" "$(jq -cn --argjson version "$1" '
        {host: "h", timeoutMs: 4000, targetLatencyMs: 2000, priority: 1,
         maxAttempts: 2, routeKind: "idempotent"} as $route |
        {version: $version, limits: {idleTimeoutMs: 120000},
         services: ["plain", "w\(range(1; 37))" |
                    {name: ., healthPath: "/health", maxConns: 800}],
         routes: [$route + {name: "p", prefix: "/p/", service: "plain"},
                  $route + {name: "s", prefix: "/s/", service: "w1"},
                  $route + {name: "w", prefix: "/w/", topK: 5, minShardRatio: 0.5,
                            gather: [range(1; 37) | "w\(.)"]}]}')"
}

# Waits until gateway 1 has learned the wide route.
gateway_until_wide() {
    local attempt
    for attempt in $(seq 50); do
        [ "$(gateway_ask 1 GET /w/x)" != 404 ] && return 0
        sleep 0.1
    done
    return 1
}

# Guards against bytes that follow a request which is being served: they wait in
# the kernel, at every listening address.
case_gateway_crowd_behind() {
    local crowd_stays=1
    crowd_fleet --delay_ms=1500 || return 1
    expect_within gateway-1 "$fleet_net.5.1:8080" behind "$crowd_connections" 262144 --path=/w/x
}

# Guards against replies that nobody reads and that wait in the kernel.
case_gateway_crowd_unread() {
    local crowd_stays=1
    crowd_fleet --body="$(printf '%0120000d' 0)" || return 1
    expect_within gateway-1 "$fleet_net.5.1:8080" unread "$crowd_connections" 2000 --path=/s/x
}

# Guards against callers that keep every connection for callers with replies that
# they do not read: an ordinary caller gets a reset for as long as they stay. The
# requests of the crowd are served first, so that the caller tries several times.
case_gateway_crowd_descriptors() {
    local crowd_stays=1 crowd_tries=25
    crowd_fleet || return 1
    expect_within gateway-1 "$fleet_net.5.1:8080" unread "$crowd_excess_connections" 600
    expect_within gateway-1 "$fleet_net.5.1:8080" unread "$crowd_excess_connections" 12000
}

# Guards against complete requests that exhaust the memory: each waits for 36
# upstreams, and its body was copied for each send.
case_gateway_crowd_complete() {
    local crowd_lines=('[memory]' 'limit_mb = 96' 'descriptors = 2048')
    local crowd_bound_kb=$((96 * 1024))
    crowd_fleet --delay_ms=1500 || return 1
    expect_within gateway-1 "$fleet_net.5.1:8080" complete 400 60000 --path=/w/x
    expect_within gateway-1 "$fleet_net.5.1:8080" complete "$crowd_connections" 60000 --path=/w/x --reconnect
    expect_within gateway-1 "$fleet_net.5.1:8080" complete "$crowd_connections" 1024 --path=/w/x --reconnect
}

# Guards against complete replies that wait for a slow upstream: each request
# holds those of 35 upstreams meanwhile.
case_gateway_crowd_parts() {
    crowd_fleet --body="$(printf '%016000d' 0)" || return 1
    curl -sf -o /dev/null --max-time 2 "http://$fleet_net.1.3:9736/control?mode=silent"
    expect_within gateway-1 "$fleet_net.5.1:8080" complete 400 1024 --path=/w/x --reconnect
}

# Guards against connections to many upstreams that take the descriptors which
# callers and the store need.
case_gateway_crowd_upstreams() {
    local crowd_lines=('[memory]' 'limit_mb = 256' 'descriptors = 1024')
    local crowd_bound_kb=$((256 * 1024)) crowd_descriptor_bound=1024 crowd_stays=1
    crowd_fleet --delay_ms=1500 || return 1
    expect_within gateway-1 "$fleet_net.5.1:8080" complete 500 1024 --path=/w/x --reconnect
}

# Guards against memory that is not returned when a crowd has left, so that the
# next crowd exceeds the machine's memory.
case_gateway_crowd_again() {
    crowd_fleet --delay_ms=1000 || return 1
    local pattern
    for pattern in large_chunks complete small_chunks complete mixed; do
        expect_within gateway-1 "$fleet_net.5.1:8080" "$pattern" "$crowd_connections" 200000 \
            --path=/w/x --reconnect
    done
}

# Guards against the same patterns at the addresses for readiness, peers and
# metrics.
case_gateway_crowd_addresses() {
    crowd_fleet || return 1
    local port
    for port in 8081 8082 8083; do
        expect_within gateway-1 "$fleet_net.5.1:$port" mixed "$crowd_connections" 200000 --reconnect
    done
}

# Guards against a crowd that fills the memory of a process which is frozen, or
# which learns a new configuration and reloads its settings meanwhile.
case_gateway_crowd_frozen() {
    crowd_fleet --delay_ms=1000 || return 1
    local round
    for round in 1 2; do
        fleet_signal gateway-1 STOP
        start_crowd gateway-1 "$fleet_net.5.1:8080" --pattern=mixed --path=/w/x --reconnect \
            --connections="$crowd_excess_connections" --bytes=200000
        fleet_signal gateway-1 CONT
        crowd_config "$((round + 2))"
        fleet_signal gateway-1 HUP
        finish_crowd gateway-1 "a freeze and a new configuration"
    done
}

# Guards against a graceful stop that a crowd turns into an end by memory.
case_gateway_crowd_stop() {
    crowd_fleet --delay_ms=1000 || return 1
    local peak
    start_crowd gateway-1 "$fleet_net.5.1:8080" --pattern=mixed --path=/w/x --reconnect \
        --connections="$crowd_excess_connections" --bytes=200000
    fleet_signal gateway-1 TERM
    fleet_join gateway-1
    expect "exit status" "$?" -eq 0
    peak=$(awk '$1 == "peak_kb" { peak = $2 } END { print peak + 0 }' "$fleet_work/crowd.log")
    echo "  gateway-1, graceful stop: $(grep '^peak_kb' "$fleet_work/crowd.log" | tail -1)"
    expect "peak KB during the stop" "$peak" -lt "$crowd_bound_kb"
    expect "answer of the other gateway" "$(gateway_ask 2 GET /p/x)" = 200
}

# Sets $chosen to one of the arguments, as $RANDOM decides. Not to be called in a
# subshell, for which bash seeds $RANDOM anew.
choose() {
    shift "$((RANDOM % $#))"
    chosen="$1"
}

end_soak_crowd() {
    fleet_signal "crowd-$1" KILL 2>/dev/null
    fleet_join "crowd-$1" 2>/dev/null
}

# Does one thing to gateway 1 that operators or machines do.
crowd_soak_event() {
    case "$1" in
    reload) fleet_signal gateway-1 HUP ;;
    configuration)
        crowd_soak_version=$((crowd_soak_version + 1))
        crowd_config "$crowd_soak_version"
        ;;
    freeze)
        fleet_signal gateway-1 STOP
        sleep 0.7
        fleet_signal gateway-1 CONT
        ;;
    restart)
        fleet_signal gateway-1 TERM
        fleet_join gateway-1
        expect "exit status at a restart" "$?" -eq 0
        gateway_start 1
        fleet_wait "http://$fleet_net.5.1:8081/ready"
        ;;
    esac
}

# Guards against crowds, signals, restarts and changes that come in series and
# overlap. Callers use their connections until the process is gone. The seed and
# the number of rounds come from CROWD_SOAK_SEED and CROWD_SOAK_ROUNDS.
case_gateway_crowd_soak() {
    local round peak gateway_settings crowd_soak_version=2 path pattern event
    local chosen connections bytes
    crowd_fleet --delay_ms=700 --body="$(printf '%08000d' 0)" || return 1
    gateway_settings=$(printf '%s\n' "${crowd_lines[@]}")
    RANDOM=${CROWD_SOAK_SEED:-2}
    for round in $(seq "${CROWD_SOAK_ROUNDS:-4}"); do
        choose mixed behind complete unread large_chunks small_chunks trailers
        pattern=$chosen
        choose /w/x /p/x /s/x
        path=$chosen
        choose 200 400 700
        connections=$chosen
        choose 1024 60000 200000
        bytes=$chosen
        fleet_spawn "crowd-$round" "$fleet_bin/stand-in-crowd" --reconnect \
            --watch_pid="${fleet_pids[gateway-1]}" --address="$fleet_net.5.1:8080" \
            --pattern="$pattern" --path="$path" \
            --connections="$connections" --bytes="$bytes"
        sleep "0.$((RANDOM % 10))"
        for event in 1 2; do
            choose reload configuration freeze restart none
            echo "  round $round: $pattern $path $connections $bytes, $chosen"
            crowd_soak_event "$chosen"
            sleep "0.$((RANDOM % 6))"
        done
        expect "process that is alive in round $round" \
            "$(kill -0 "${fleet_pids[gateway-1]}" && echo yes)" = yes
        # The crowds of two rounds overlap.
        [ "$round" -eq 1 ] || end_soak_crowd "$((round - 1))"
    done
    sleep 1
    end_soak_crowd "$round"
    peak=$(awk '$1 == "peak_kb" && $2 > peak { peak = $2 } END { print peak + 0 }' \
        "$fleet_work"/crowd-*.log)
    echo "  gateway-1, seed ${CROWD_SOAK_SEED:-2}: peak $peak KB"
    expect "peak KB in the soak" "$peak" -gt 0
    expect "peak KB in the soak" "$peak" -lt "$crowd_bound_kb"
    expect "descriptors after the soak" \
        "$(ls "/proc/${fleet_pids[gateway-1]}/fd" | wc -l)" -lt "$crowd_descriptor_bound"
    expect "ordinary answer after the soak" "$(crowd_ordinary_with_retries)" = 200
    expect "answer of the other gateway" "$(gateway_ask 2 GET /p/x)" = 200
}

# Guards against the same patterns at an entry, with upstreams that are slow.
case_entry_crowds() {
    crowd_ordinary() { [ "$(complete_queries 1 1)" -eq 1 ] && echo 200; }
    local fleet_entry_lines=("${crowd_lines[@]}") fleet_upstream_flags=(--latency_ms=100)
    local query='{"service":"counter-quote","class":"counter","query":"parcel"}'
    fleet_start "$document" 1 || return 1
    expect_within entry-1 "$fleet_net.2.1:8080" behind "$crowd_connections" 262144 \
        --path=/v1/query --content="$query"
    expect_within entry-1 "$fleet_net.2.1:8080" unread "$crowd_excess_connections" 12000
    expect_within entry-1 "$fleet_net.2.1:8080" complete 400 200000 --path=/v1/query --reconnect
    expect_within entry-1 "$fleet_net.2.1:8080" mixed "$crowd_connections" 200000 \
        --path=/v1/query --content="$query" --reconnect
    crowd_ordinary() { gateway_ask 1 GET /p/x; }
}
