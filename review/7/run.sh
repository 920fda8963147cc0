#!/usr/bin/env bash
# Case 7: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0: the same without the disruption.
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
review_store
seeds="$net.5.1:8224,$net.5.2:8224"
review_gateway 1 z1 "$seeds" "$net.4.1:9600"
review_gateway 2 z2 "$seeds"
review_drive late_store_answer "$store" "$net.4.1:9600" "$net.5.1:8226" \
    "$net.5.1:8227" "$net.5.2:8227" "$net.1.1:9701" "$net.1.2:9701" \
    "$review_case/record.txt" "$trouble"
