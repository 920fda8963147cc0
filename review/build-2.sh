#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the gateway: the stand-in for the
# store, and the drivers in review/tools-2. Run it after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DWISTERIAHATCH_TESTS=OFF >/dev/null
cmake --build target --target stand-in-store
mkdir -p target/review-2
for source in review/tools-2/*.cpp; do
    program="target/review-2/$(basename "$source" .cpp)"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$program"
done
