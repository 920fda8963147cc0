#!/usr/bin/env bash
# Runs the program of a case in the case's folder, with a temporary folder and
# loopback addresses of its own. Usage: run_case.sh CASE_FOLDER PROGRAM
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
cd "$1"
export WISTERIAHATCH_PROGRAMS="$root/target/bin"
[ -x "$root/target/review/$2" ] || exit 2
CASE_FOLDER="$(mktemp -d)"
export CASE_FOLDER CASE_NETWORK="127.$((RANDOM % 150 + 60)).$((RANDOM % 250 + 1))"
status=0
timeout -k 2 115 "$root/target/review/$2" || status=$?
rm -rf "$CASE_FOLDER"
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
