#!/usr/bin/env bash
# Runs every test with AddressSanitizer and UndefinedBehaviorSanitizer, then
# with ThreadSanitizer, and prints one verdict. A sanitizer report fails the
# test program or the process test in which it appeared. Usage: sanitize.sh
set -uo pipefail
cd "$(dirname "$0")/.."
# Without halt_on_error a program exits with status 0 after undefined behaviour.
# log_path is not set: libubsan ignores it when libasan is loaded too, and the
# process tests look for reports in the programs' logs.
export ASAN_OPTIONS="detect_leaks=1"
export UBSAN_OPTIONS="halt_on_error=1:print_stacktrace=1"
export TSAN_OPTIONS="second_deadlock_stack=1"
failed=()
Meta/test.sh Build/address -DWISTERIAHATCH_SANITIZE=address,undefined ||
    failed+=("address,undefined")
Meta/test.sh Build/thread -DWISTERIAHATCH_SANITIZE=thread || failed+=("thread")
if [ "${#failed[@]}" -eq 0 ]; then
    echo "sanitizers: clean"
    exit 0
fi
echo "sanitizers: FAILED with ${failed[*]}"
exit 1
