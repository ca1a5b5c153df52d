#!/usr/bin/env bash
# Runs all measurements over varying sizes, stores the results in docs/measurements, and writes
# the tables of docs/CAPACITY.md. Run it on an idle machine; it takes a few minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=docs/measurements
mkdir -p "$OUT"
cargo build --release --locked -p bench

# Stores only the JSON lines, and replaces the old file only if the run succeeds.
measure() { # name, arguments...
    local name=$1
    shift
    echo "measuring $name"
    "target/release/bench-$name" "$@" --json | grep '^{' >"$OUT/$name.jsonl.new"
    mv "$OUT/$name.jsonl.new" "$OUT/$name.jsonl"
}

measure config
measure control
measure ledger
measure maintenance --steps-only
measure placement
measure shares
target/release/capacity
