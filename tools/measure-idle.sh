#!/usr/bin/env bash
# Measures the cost of a node that serves no requests: 8 nodes, both example contracts, 20 seconds.
# Prints the processor time and memory of each node, and the table calls of all nodes together.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=target/release
readonly PLATFORM=127.0.0.1:7990
readonly NODES=8
readonly WINDOW_S=20
export SAVORYPITCH_OPERATOR_KEY=operator-key-of-the-measurement
export SAVORYPITCH_KEY=$SAVORYPITCH_OPERATOR_KEY
export SAVORYPITCH_CLUSTER_SECRET=cluster-secret-of-the-measurement
export SAVORYPITCH_NODE=127.0.0.1:7951

source tools/processes.sh

peers=()
for number in $(seq "$NODES"); do
    peers+=("n$number=127.0.0.1:796$number")
done
PEERS=$(IFS=, && echo "${peers[*]}")

"$BIN/standin-platform" --listen "$PLATFORM" >/dev/null 2>&1 &
pids+=("$!")
for number in $(seq "$NODES"); do
    "$BIN/savorypitch" serve --node-id "n$number" --platform "$PLATFORM" --peers "$PEERS" \
        --listen "127.0.0.1:794$number" --admin-listen "127.0.0.1:795$number" \
        --peer-listen "127.0.0.1:796$number" >/dev/null 2>&1 &
    pids+=("$!")
done
sleep 3
"$BIN/savorypitch" contract apply examples/levy.toml
"$BIN/savorypitch" contract apply examples/studio.toml
# Gives all duties and tokens time to get their holders.
sleep 15

table_calls() {
    "$BIN/standin-load" once --node "$PLATFORM" --path /standin/calls --print-body
}

cpu_ticks() { # process id; prints the processor time in hundredths of a second
    sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

before_calls=$(table_calls)
before_ticks=()
for pid in "${pids[@]}"; do
    before_ticks+=("$(cpu_ticks "$pid")")
done
sleep "$WINDOW_S"
after_calls=$(table_calls)
echo "table calls before: $before_calls"
echo "table calls after $WINDOW_S s: $after_calls"
for index in $(seq "$NODES"); do
    pid=${pids[$index]}
    spent=$(($(cpu_ticks "$pid") - before_ticks[index]))
    memory_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
    echo "n$index: $((spent * 10 / WINDOW_S)) ms of processor time a second, $memory_kb kB of memory"
done
"$BIN/savorypitch" status | grep -E 'peer.(sent|received)_bytes'
