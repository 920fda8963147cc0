#!/usr/bin/env bash
# Installs packages, builds, and runs every test except those listed in
# KNOWN-RED.txt, which are printed. Succeeds if every test that ran passed.
# Usage: test.sh [BUILD_FOLDER [CMAKE_OPTION...]]
set -uo pipefail
cd "$(dirname "$0")/.."
folder="${1:-Build}"
Meta/install_packages.sh || exit 1
Meta/build.sh "$folder" "${@:2}" || exit 1

passed=0
failed=0
for program in "$folder"/bin/test-*; do
    [ -x "$program" ] || continue
    # Excluded names come from lines "test: NAME" of KNOWN-RED.txt.
    excluded=""
    if [ -f KNOWN-RED.txt ]; then
        excluded=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd, -)
    fi
    echo "== $(basename "$program")"
    output=$(WISTERIAHATCH_BIN="$PWD/$folder/bin" WISTERIAHATCH_SOURCE="$PWD" \
        "$program" ${excluded:+--test-case-exclude="$excluded"} 2>&1)
    status=$?
    echo "$output"
    counts=$(grep -E '^\[doctest\] test cases:' <<<"$output" | tail -1)
    passed=$((passed + $(grep -oE '[0-9]+ passed' <<<"$counts" | grep -oE '[0-9]+' || echo 0)))
    program_failed=$(grep -oE '[0-9]+ failed' <<<"$counts" | grep -oE '[0-9]+' || echo 0)
    # A crash leaves no summary, so a nonzero exit status counts as one failure.
    [ "$status" -ne 0 ] && [ "$program_failed" -eq 0 ] && program_failed=1
    failed=$((failed + program_failed))
done
echo "== process tests"
output=$(WISTERIAHATCH_BIN="$PWD/$folder/bin" Tests/process/run.sh 2>&1)
echo "$output"
counts=$(grep -E '^process tests: ' <<<"$output" | tail -1)
process_failed=$(grep -oE '[0-9]+ failed' <<<"$counts" | grep -oE '[0-9]+' || echo 1)
passed=$((passed + $(grep -oE '[0-9]+ passed' <<<"$counts" | grep -oE '[0-9]+' || echo 0)))
failed=$((failed + process_failed))
if [ -s KNOWN-RED.txt ]; then
    echo "== known failures, not run"
    cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
