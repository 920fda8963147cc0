#!/usr/bin/env bash
# Measures how the costs in docs/CAPACITY.md grow with size by running the real
# code, writes docs/capacity.csv and plots docs/rounds.png and docs/bytes.png.
# Usage: capacity.sh [STAGE...]. Stages: spread, churn, ownership, document,
# query, plots; all by default. Rows of other stages are kept.
# SIZES sets the fleet sizes of spread ("9 100 1000 5000"); 5,000 members take
# about 6 GB and 7 minutes in spread, 13 minutes in churn. Instructions are
# counted with valgrind.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=Build/bin/wisteriahatch-bench
table=docs/capacity.csv
sizes="${SIZES:-9 100 1000 5000}"
[ -x "$bench" ] || { echo "build first: Meta/build.sh" >&2; exit 1; }
command -v valgrind >/dev/null ||
    { echo "valgrind is missing: apt-get install -y valgrind" >&2; exit 1; }
[ -f "$table" ] || echo "role,measure,size,value,unit,command" >"$table"

# Replaces the table's rows that end with the command by the rows on standard
# input.
replace_rows() {
    local command="$1" rows
    rows=$(cat)
    { grep -vF -- ",$command" "$table" || true; echo "$rows"; } >"$table.new"
    mv "$table.new" "$table"
    echo "$rows"
}

# measure NAME SIZE [SEED]: runs one measure of the bench program.
measure() {
    local arguments=("--measure=$1" "--size=$2" "--seed=${3:-1}")
    "$bench" "${arguments[@]}" |
        replace_rows "wisteriahatch-bench ${arguments[*]}"
}

# count_instructions NAME SIZE ITERATIONS: prints the instructions that valgrind
# counts for one run of the bench program.
count_instructions() {
    valgrind --tool=callgrind --callgrind-out-file=/dev/null \
        "$bench" --measure="$1" --size="$2" --iterations="$3" 2>&1 |
        sed -n 's/.*Collected : *\([0-9]*\).*/\1/p'
}

# instructions ROLE NAME SIZE ITERATIONS: records the cost of one iteration,
# computed from runs with N and 2N iterations so that the start-up cancels out.
instructions() {
    local command once twice
    command="valgrind --tool=callgrind wisteriahatch-bench --measure=$2 --size=$3 --iterations=$4 and twice as many"
    once=$(count_instructions "$2" "$3" "$4")
    twice=$(count_instructions "$2" "$3" $((2 * $4)))
    echo "$1,$2_instructions,$3,$(((twice - once) / $4)),instructions,$command" |
        replace_rows "$command"
}

stage_spread() {
    for size in $sizes; do measure spread "$size"; done
    for seed in 2 3 4; do measure spread 1000 "$seed"; done
    for size in 9 100; do measure quiet "$size"; done
    for size in 9 100 1000 5000; do instructions entry exchange "$size" 20; done
}

stage_churn() {
    for size in 100 1000 2500 5000; do measure churn "$size"; done
}

stage_ownership() {
    for size in 9 100 1000 5000; do
        measure owner_moves "$size"
        instructions relay ownership "$size" 20
    done
}

stage_document() {
    measure fleet_document 25080
    for size in 90 1000 30000; do
        measure directory "$size"
        instructions platform directory_decode "$size" 2
    done
    for size in 10000 100000 300000 1000000; do
        measure document "$size"
        for part in document_check document_diff document_apply; do
            instructions entry "$part" "$size" 2
        done
    done
}

stage_query() {
    for size in 1 10 30 110; do
        measure query "$size"
        measure query_wire "$size"
        instructions entry query "$size" 20
        instructions entry query_wire "$size" 20
    done
    for size in 0 12; do
        measure rpc "$size"
        instructions entry rpc "$size" 20
    done
}

# rows MEASURE: prints size and value of a measure with seed 1, for gnuplot.
rows() {
    awk -F, -v measure="$1" '$2 == measure && /--seed=1$/ { print $3, $4 }' "$table" | sort -n
}

stage_plots() {
    local folder
    folder=$(mktemp -d)
    for name in spread_half_from_1 spread_all_from_1 spread_all_from_16 \
        gossip_sent churn_sent spread_bytes_from_1; do
        rows "$name" >"$folder/$name"
    done
    gnuplot <<EOF
set terminal pngcairo size 800,500
set logscale x
set key top left
set grid
set xlabel "members"
set output "docs/rounds.png"
set ylabel "seconds until a document change is in force"
set yrange [0:*]
plot "$folder/spread_half_from_1" with linespoints title "half, one reader", \
     "$folder/spread_all_from_1" with linespoints title "all, one reader", \
     "$folder/spread_all_from_16" with linespoints title "all, 16 readers"
set output "docs/bytes.png"
set ylabel "control bytes a node sends each second"
plot "$folder/gossip_sent" with linespoints title "records still being spread", \
     "$folder/churn_sent" with linespoints title "3,530 restarts a day", \
     2000 title "limit, 2 KB/s"
EOF
    rm -r "$folder"
}

stages=("$@")
[ "${#stages[@]}" -gt 0 ] ||
    stages=(spread churn ownership document query plots)
for stage in "${stages[@]}"; do
    echo "== $stage"
    "stage_$stage"
done
