#!/usr/bin/env bash
# Exits with 1 if gateways that reach the store send requests to a server over
# three seconds after it said that it drains. With TROUBLE=0 no gateway is
# partitioned from the store.
# Writes what was sent, answered and run to record.txt in its folder.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../stand_ins/run_case.sh" "$here/record.txt" stale_reader
