# Chooses a loopback network that no other checkout on this host uses. Sourced.

# Sets loopback_net to 127.N. A lock file reserves the network until this shell
# and the processes that it started, which hold the lock too, have ended.
choose_loopback_net() {
    local number lock
    for number in $(seq 16 254); do
        exec {lock}>"${TMPDIR:-/tmp}/wisteriahatch-net-$number.lock" || continue
        if flock -n "$lock"; then
            loopback_net="127.$number"
            return 0
        fi
        exec {lock}>&-
    done
    echo "every loopback net is in use; set WISTERIAHATCH_NET, for example to 127.9" >&2
    return 1
}
