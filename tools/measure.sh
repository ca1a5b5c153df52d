#!/usr/bin/env bash
# Runs all measurements whose size varies, keeps them in docs/measurements, and writes the tables of
# docs/CAPACITY.md. Run it on an idle machine; it takes a few minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=docs/measurements
mkdir -p "$OUT"
cargo build --release --locked -p bench

# Keeps the JSON lines only, and replaces the file only when the run has succeeded.
keep() { # name, arguments...
    local name=$1
    shift
    echo "measuring $name"
    "target/release/bench-$name" "$@" --json | grep '^{' >"$OUT/$name.jsonl.new"
    mv "$OUT/$name.jsonl.new" "$OUT/$name.jsonl"
}

keep config
keep control
keep ledger
keep maintenance --steps-only
keep placement
keep shares
target/release/capacity
