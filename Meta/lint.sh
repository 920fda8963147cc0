#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: lint.sh [BUILD_FOLDER]
# With --fix as the first argument it formats the files in place instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
folder="${1:-Build}"
clang-format --dry-run --Werror "${files[@]}"
[ -f "$folder/compile_commands.json" ] ||
    cmake -S . -B "$folder" -G Ninja >/dev/null
git ls-files -co --exclude-standard \
    'Libraries/*.cpp' 'Programs/*.cpp' 'StandIns/*.cpp' 'platform/*.cpp' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p "$folder" --quiet 2>/dev/null
echo "lint: clean"
