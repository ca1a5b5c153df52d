#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The deploy file's build comes before it, and has
# fetched all libraries; nothing is fetched here.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
