#!/usr/bin/env bash
# Runs the commands of the tutorials: each ```sh block in turn, in one shell for
# each page. Exits with 0 only if every command succeeds and each block that is
# followed by a ```text block prints that text.
# Usage: check_tutorials.sh [PAGE...]
set -uo pipefail
cd "$(dirname "$0")/.."
. Meta/loopback_net.sh
[ -n "${WISTERIAHATCH_NET:-}" ] || choose_loopback_net || exit 1
export WISTERIAHATCH_NET="${WISTERIAHATCH_NET:-$loopback_net}"
[ "$#" -gt 0 ] || set -- docs/tutorial-*.md
exec 4>&1

# Runs one page and prints the command that failed or the output that differs.
check_page() (
    page="$1" number=0 mode="" block="" fault="the shell exited"
    output=$(mktemp)
    finish() {
        # Inside a block, standard output is still redirected.
        [ -z "$fault" ] || { echo "$page:$number: $fault" && sed 's/^/    /' "$output"; } >&4
        ! declare -F fleet_stop >/dev/null || fleet_stop
        rm -rf "$output" "${fleet_work:-$output}"
        [ -z "$fault" ] || exit 1
    }
    trap finish EXIT
    # Without errtrace, only a command of the page itself triggers this.
    trap 'fault="failed: $BASH_COMMAND"; exit 1' ERR
    while IFS= read -r -u 3 line; do
        number=$((number + 1))
        case "$mode:$line" in
        ':```sh' | ':```text') mode="${line#???}" block="" ;;
        'sh:```')
            eval "$block" >"$output" 2>&1 3<&-
            mode=""
            ;;
        'text:```')
            # The pages show addresses of the network 127.0.
            sed -i "s/${WISTERIAHATCH_NET//./\\.}\./127.0./g" "$output"
            fault="the output differs from the text above"
            [ "$(<"$output")" = "${block%$'\n'}" ] || exit 1
            mode="" fault="the shell exited"
            ;;
        sh:* | text:*) block+="$line"$'\n' ;;
        esac
    done 3<"$page"
    fault="the last block is not closed, or the page has no block"
    [ -z "$mode" ] && [ -n "$block" ] && fault=""
)

failures=0
for page in "$@"; do
    # In an && list or a condition, bash would not trigger the ERR trap.
    check_page "$page"
    [ "$?" -eq 0 ] && echo "passed: $page" || failures=$((failures + 1))
done
[ "$failures" -eq 0 ]
