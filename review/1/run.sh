#!/usr/bin/env bash
# Exits with 1 if a non-idempotent request ran twice, or ran though it was
# refused. With TROUBLE=0 no answer is sent a second time.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../stand_ins/run_case.sh" "$here" late_refusal
