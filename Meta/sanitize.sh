#!/usr/bin/env bash
# Runs the tests built with AddressSanitizer and UndefinedBehaviorSanitizer,
# then with ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/test.sh Build/address -DWISTERIAHATCH_SANITIZE=address,undefined
Meta/test.sh Build/thread -DWISTERIAHATCH_SANITIZE=thread
