#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
packages=(
    ccache clang-format clang-tidy cmake curl doctest-dev g++ gnuplot-nox jq
    libbenchmark-dev libboost1.81-dev libgflags-dev libjsoncpp-dev
    libjsonrpccpp-dev liblog4cplus-dev librapidcheck-dev libssl-dev
    libxxhash-dev ninja-build prometheus-cpp-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
