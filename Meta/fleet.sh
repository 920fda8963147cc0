# Functions that start the stand-ins and entry instances on loopback addresses
# and stop exactly the processes they started. Sourced by demo.sh, measure.sh and
# the process tests. Needs the folder of the programs in $fleet_bin.
#
# Addresses are in a free network 127.N (or WISTERIAHATCH_NET), so that two
# fleets can run side by side: upstreams .1.1 from port 20000, counters and
# control of a service's upstreams .1.1 from port 19000, platform .3.1:9000,
# entry instance N .2.N ports 8080 (callers), 8081 (admin), 8082 (peers).

. "${BASH_SOURCE%/*}/loopback_net.sh"
[ -n "${WISTERIAHATCH_NET:-}" ] || choose_loopback_net || exit 1
fleet_net="${WISTERIAHATCH_NET:-$loopback_net}"

declare -A fleet_pids=()
fleet_work=""
platform="$fleet_net.3.1:9000"

# Prints "service|slots|connections|replica|failure domain|address" for each
# replica of a document.
fleet_replicas() {
    awk -v port=20000 -v net="$fleet_net" '
        /^\[service / { service = substr($0, 10, length($0) - 10) }
        /^slots/ { split($0, part, /= */); slots[service] = part[2] + 0 }
        /^connections/ { split($0, part, /= */); limit[service] = part[2] + 0 }
        /^\[group / {
            service = substr($0, 8, length($0) - 8)
            sub(/\/[^\/]*$/, "", service)
        }
        /^replicas/ {
            sub(/^replicas *= */, "")
            count = split($0, replicas, / *, */)
            for (i = 1; i <= count; i++) {
                split(replicas[i], part, "@")
                print service "|" slots[service] "|" limit[service] "|" \
                    part[1] "|" part[2] "|" net ".1.1:" port++
            }
        }' "$1"
}

# Starts a program in the background with its output in NAME.log.
# Usage: fleet_spawn NAME PROGRAM ARGUMENT...
fleet_spawn() {
    local name="$1"
    shift
    "$@" >>"$fleet_work/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

# Sends a signal to a process by its name. Usage: fleet_signal NAME SIGNAL
fleet_signal() {
    kill "-$2" "${fleet_pids[$1]}"
}

# Waits for the end of a process and returns its exit status.
fleet_join() {
    local pid="${fleet_pids[$1]}"
    unset "fleet_pids[$1]"
    wait "$pid"
}

# Ends the processes that fleet_spawn started and that still run.
fleet_stop() {
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null
    done
    for pid in "${fleet_pids[@]}"; do
        wait "$pid" 2>/dev/null
    done
    fleet_pids=()
}

# Waits until a URL answers with status 200, at most 15 s.
fleet_wait() {
    local attempt
    for attempt in $(seq 150); do
        curl -sf -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1; see the logs in $fleet_work" >&2
    return 1
}

# Starts the upstreams of one service that match a pattern, as one process.
# Usage: fleet_upstreams NAME SERVICE PATTERN ADMIN_PORT [ARGUMENT...]
fleet_upstreams() {
    local name="$1" service="$2" pattern="$3" admin="$4" list slots limit
    shift 4
    list=$(awk -F'|' -v s="$service" -v p="$pattern" -v without="${fleet_split:-}" \
        '$1 == s && $4 ~ p && (without == "" || p == without || $4 !~ without) {
            print $4 "@" $6 }' "$fleet_work/replicas" | paste -sd, -)
    [ -n "$list" ] || return 0
    slots=$(awk -F'|' -v s="$service" '$1 == s { print $2; exit }' "$fleet_work/replicas")
    limit=$(awk -F'|' -v s="$service" '$1 == s { print $3; exit }' "$fleet_work/replicas")
    fleet_spawn "$name" "$fleet_bin/stand-in-upstream" --upstreams="$list" \
        --slots="$slots" --connections="$limit" \
        --admin="$fleet_net.1.1:$admin" "$@"
}

# Prints the platform's instance list for the replicas and ENTRIES instances.
# Usage: fleet_instances ENTRIES [REVISION]
fleet_instances() {
    local domains
    domains=$(cut -d'|' -f5 "$fleet_work/replicas" | sort -u | paste -sd' ' -)
    {
        awk -F'|' -v silenced="${fleet_silenced:-}" '{
            if (silenced != "") sub(/\.1\.1:/, ".4.1:", $6)
            print $4 "\tupstream\t" $6 "\t\t" $5 }' "$fleet_work/replicas"
        local i=0
        for i in $(seq "$1"); do
            printf "entry-%s\tentry\t$fleet_net.2.%s:8080\t$fleet_net.2.%s:8082\t%s\n" "$i" \
                "$i" "$i" "$(fleet_domain "$i" $domains)"
        done
    } | jq -R -s --argjson revision "${2:-1}" '{revision: $revision, instances:
        [split("\n")[] | select(. != "") | split("\t") |
         {name: .[0], role: .[1], address: .[2], peer_address: .[3],
          failure_domain: .[4], state: "live"}]}'
}

# Prints the failure domain of instance N out of a list of domains.
fleet_domain() {
    local number="$1"
    shift
    local domains=("$@")
    echo "${domains[$(((number - 1) % ${#domains[@]}))]}"
}

# Starts entry instance N. Usage: fleet_entry N ENTRIES [SETTINGS_LINE...]
fleet_entry() {
    local number="$1" entries="$2" environment seeds domains
    shift 2
    environment=$(sed -n 's/^environment *= *//p' "$fleet_document" | head -1)
    domains=$(cut -d'|' -f5 "$fleet_work/replicas" | sort -u | paste -sd' ' -)
    seeds=$(seq -f "$fleet_net.2.%.0f:8082" "$entries" | paste -sd, -)
    {
        printf '[instance]\nname = entry-%s\nenvironment = %s\n' "$number" "$environment"
        printf 'failure_domain = %s\n' "$(fleet_domain "$number" $domains)"
        printf "caller_address = $fleet_net.2.%s:8080\n" "$number"
        printf "admin_address = $fleet_net.2.%s:8081\n" "$number"
        printf "peer_address = $fleet_net.2.%s:8082\n" "$number"
        printf 'workers = %s\n' "${fleet_workers:-2}"
        printf '[platform]\naddress = %s\n' "${fleet_platform:-$platform}"
        printf '[peers]\nseeds = %s\n' "$seeds"
        printf '%s\n' "$@"
    } >"$fleet_work/entry-$number.ini"
    fleet_spawn "entry-$number" "$fleet_bin/wisteriahatch-entry" \
        --settings="$fleet_work/entry-$number.ini"
}

# Starts platform, upstreams of every service and ENTRIES instances, and waits
# until all are ready. Usage: fleet_start DOCUMENT ENTRIES
fleet_start() {
    fleet_document="$1"
    local entries="$2" service port=19000 i
    fleet_work=$(mktemp -d)
    fleet_replicas "$fleet_document" >"$fleet_work/replicas"
    fleet_instances "$entries" >"$fleet_work/instances.json"
    fleet_spawn platform "$fleet_bin/stand-in-platform" --listen="$platform" \
        --document="$fleet_document" --instances="$fleet_work/instances.json"
    while read -r service; do
        # Replicas that match $fleet_split run in a separate process.
        if [ -n "${fleet_split:-}" ]; then
            fleet_upstreams "split-$service" "$service" "$fleet_split" \
                "$((port + 100))" "${fleet_upstream_flags[@]}"
        fi
        fleet_upstreams "upstreams-$port" "$service" . "$port" "${fleet_upstream_flags[@]}"
        echo "$service|$port" >>"$fleet_work/services"
        port=$((port + 1))
    done < <(cut -d'|' -f1 "$fleet_work/replicas" | uniq)
    [ -z "${fleet_silenced:-}" ] || fleet_silencer
    for i in $(seq "$entries"); do
        fleet_entry "$i" "$entries" "${fleet_entry_lines[@]}"
    done
    for i in $(seq "$entries"); do
        fleet_wait "http://$fleet_net.2.$i:8081/ready" || return 1
    done
}

# Puts a pass-through proxy in front of each upstream: entries reach the upstream
# at .1.1 through the same port of .4.1.
fleet_silencer() {
    local routes
    routes=$(cut -d'|' -f6 "$fleet_work/replicas" |
        awk -F: -v net="$fleet_net" '{ print net ".4.1:" $2 "=" $0 }' | paste -sd, -)
    fleet_spawn silencer "$fleet_bin/stand-in-silencer" --routes="$routes" \
        --admin=$fleet_net.4.1:9790
}

# Prints the address for counters and control of a service's upstreams.
fleet_admin() {
    awk -F'|' -v s="$1" -v net="$fleet_net" '$1 == s { print net ".1.1:" $2 }' "$fleet_work/services"
}

# Changes the behaviour of upstreams at run time.
# Usage: fleet_control SERVICE NAMES_JSON CONTROL_JSON
fleet_control() {
    curl -sf -o /dev/null --max-time 5 -X POST \
        -d "{\"upstreams\":$2,\"control\":$3}" "http://$(fleet_admin "$1")/control"
}
