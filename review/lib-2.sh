# Starts a store and gateways for the cases of the second review, with the
# command of the deploy file; sourced by their run.sh. Addresses are in a free
# network 127.N.

review_root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
review_case="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
cd "$review_root" || exit 2
. Meta/loopback_net.sh
choose_loopback_net || exit 2
net="$loopback_net"
store="$net.3.1:9600"
trouble="${TROUBLE:-1}"
pids=()
work=$(mktemp -d) || exit 2

# Ends the processes that were started, by their ids.
review_stop() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap review_stop EXIT

# Usage: review_spawn NAME PROGRAM ARGUMENT...
review_spawn() {
    local name="$1"
    shift
    [ -x "$1" ] || { echo "$1 is missing; run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
    "$@" >"$work/$name.log" 2>&1 &
    pids+=("$!")
}

review_store() {
    review_spawn store target/bin/stand-in-store --listen="$store"
    local attempt
    for attempt in $(seq 100); do
        grep -q '^ready' "$work/store.log" && return 0
        sleep 0.1
    done
    exit 2
}

# Starts gateway N with the settings of a small deployment, as the template of
# the deploy file gives them. Usage: review_gateway N ZONE SEEDS [STORE]
review_gateway() {
    cat >"$work/gateway-$1.ini" <<SETTINGS
[instance]
name = front-$1
failure_domain = $2
caller_address = $net.5.$1:8226
ready_address = $net.5.$1:8227
metrics_address = $net.5.$1:9464
[peers]
address = $net.5.$1:8224
seeds = $3
[store]
address = ${4:-$store}
[shutdown]
grace_s = 6
[drain]
bound_ms = 3000
[repeats]
ratio = 0.2
slack = 58
window_s = 10
[memory]
limit_mb = 260
descriptors = 4100
${review_settings:-}
[log]
level = info
SETTINGS
    review_spawn "gateway-$1" target/bin/wisteriahatch-gateway \
        --settings="$work/gateway-$1.ini"
}

# Runs the driver of a case, and exits with its status.
# Usage: review_drive PROGRAM ARGUMENT...
review_drive() {
    local program="target/review-2/$1"
    shift
    [ -x "$program" ] || { echo "$program is missing; run review/build-2.sh" >&2; exit 2; }
    timeout 100 "$program" "$@"
    local status=$?
    [ "$status" -le 1 ] || status=2
    exit "$status"
}
