#!/usr/bin/env bash
# Runs the program of a case with a temporary folder and loopback addresses of
# its own, and makes sure that no process is left.
# Usage: run_case.sh RECORD_FILE PROGRAM
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
export WISTERIAHATCH_PROGRAMS="$root/target/bin"
[ -x "$root/target/review/$2" ] || exit 2
CASE_FOLDER="$(mktemp -d)"
export CASE_FOLDER CASE_NETWORK="127.$((RANDOM % 150 + 60)).$((RANDOM % 250 + 1))"

# Prints the ids of processes that name this run's folder or network in their
# arguments.
started_processes() {
    local folder
    for folder in /proc/[0-9]*; do
        tr '\0' ' ' 2>/dev/null <"$folder/cmdline" |
            grep -qF -e "=$CASE_FOLDER/" -e "=$CASE_NETWORK." && echo "${folder#/proc/}"
    done
    true
}

status=0
timeout -k 2 115 "$root/target/review/$2" "$1" || status=$?
left=$(started_processes)
echo "processes left: ${left:-none}" >>"$1"
[ -z "$left" ] || kill -KILL $left
rm -rf "$CASE_FOLDER"
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
