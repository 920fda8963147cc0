#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start, after the build of
# deploy/system.toml, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target stand-in-store stand-in-silencer
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -pthread -o "target/review/$(basename "$source" .cpp)" \
        "$source" review/stand_ins/harness.cpp
done
