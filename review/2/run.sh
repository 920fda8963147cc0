#!/usr/bin/env bash
# Exits with 1 if gateways that reach the store act on what it said over three
# seconds ago. With TROUBLE=0 no gateway is partitioned from the store.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../stand_ins/run_case.sh" "$here" stale_reader
