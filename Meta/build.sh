#!/usr/bin/env bash
# Builds everything. Usage: build.sh [BUILD_FOLDER [CMAKE_OPTION...]]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-Build}"
shift || true
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder" -- --quiet
