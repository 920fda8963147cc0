#!/usr/bin/env bash
# Exits with 1 if a non-idempotent request ran twice, or ran though it was
# refused. With TROUBLE=0 no answer is sent a second time.
# Writes what was sent, answered and run to record.txt in its folder.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../stand_ins/run_case.sh" "$here/record.txt" late_refusal
