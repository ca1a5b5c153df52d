#!/usr/bin/env bash
# Runs three nodes, a stand-in platform and stand-in backend servers over loopback, and sends them a
# load of requests while a key is withdrawn, a host is drained and a node is stopped. Exits with 0
# only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=target/release
readonly OUT=target/demo
readonly PLATFORM=127.0.0.1:7900
readonly CONTRACTS=(examples/levy.toml examples/studio.toml)
readonly PEERS=node-1=127.0.0.1:7812,node-2=127.0.0.1:7822,node-3=127.0.0.1:7832
readonly WITHDRAWN=levy/customs-liaison
readonly DRAINED=levy-06
readonly DRAINED_BACKEND=127.0.0.1:7106
export SAVORYPITCH_OPERATOR_KEY=operator-key-of-the-demo
export SAVORYPITCH_KEY=$SAVORYPITCH_OPERATOR_KEY
export SAVORYPITCH_CLUSTER_SECRET=cluster-secret-of-the-demo-only
export SAVORYPITCH_PLATFORM=$PLATFORM

source tools/processes.sh

failures=0

fail() {
    echo "FAILED: $1"
    failures=$((failures + 1))
}

start() { # name of the log file, command...
    local log=$OUT/$1.log
    shift
    "$@" >"$log" 2>&1 &
    pids+=("$!")
}

# Retries the command until it succeeds, for at most 15 seconds.
wait_for() {
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "gave up waiting for: $*"
    return 1
}

operator() { # node number, arguments...
    local number=$1
    shift
    "$BIN/savorypitch" --node "127.0.0.1:78${number}1" "$@"
}

send_once() { # node number, key
    "$BIN/standin-load" once --node "127.0.0.1:78${1}0" --path /q/levy-validate/check --key "$2"
}

accepts_key() { # node number, key
    [ "$(send_once "$1" "$2")" = "200 complete" ]
}

rm -rf "$OUT"
mkdir -p "$OUT"

echo "== start"
start platform "$BIN/standin-platform" --listen "$PLATFORM"
for first in $(seq 7101 4 7153) $(seq 7201 4 7253); do
    # One process per rack; the last rack of each contract has two hosts.
    count=4
    case $first in 7153 | 7253) count=2 ;; esac
    start "rack-$first" "$BIN/standin-backend" --listen "127.0.0.1:$first" --count "$count"
done
node_pids=()
for number in 1 2 3; do
    start "node-$number" "$BIN/savorypitch" serve \
        --node-id "node-$number" --zone "zone-$number" --peers "$PEERS" \
        --listen "127.0.0.1:78${number}0" --admin-listen "127.0.0.1:78${number}1" \
        --peer-listen "127.0.0.1:78${number}2"
    node_pids[number]=${pids[-1]}
done
for number in 1 2 3; do
    wait_for operator "$number" status
done

echo "== contracts and keys"
for contract in "${CONTRACTS[@]}"; do
    operator 1 contract apply "$contract"
done
: >"$OUT/keys"
withdrawn_id=
withdrawn_secret=
while read -r holder; do
    granted=$(operator 1 key grant "$holder" | head -n 1)
    read -r _ id secret <<<"${granted/:/}"
    echo "$holder $secret" >>"$OUT/keys"
    if [ "$holder" = "$WITHDRAWN" ]; then
        withdrawn_id=$id
        withdrawn_secret=$secret
    fi
done < <(operator 1 team list | awk 'NR > 1 { print $1 }')
echo "$(wc -l <"$OUT/keys") keys granted"
for number in 1 2 3; do
    wait_for accepts_key "$number" "$withdrawn_secret" ||
        fail "node-$number does not accept a granted key"
done

echo "== load of 4,000 requests over 20 seconds"
"$BIN/standin-load" run --node 127.0.0.1:7810 --node 127.0.0.1:7820 --node 127.0.0.1:7830 \
    --contract "${CONTRACTS[0]}" --contract "${CONTRACTS[1]}" --keys "$OUT/keys" \
    --requests 4000 --duration-ms 20000 >"$OUT/outcomes.txt" 2>&1 &
load_pid=$!

sleep 4
echo "== withdraw the key of $WITHDRAWN"
operator 2 key withdraw "$withdrawn_id"
sleep 2
for number in 1 2 3; do
    response=$(send_once "$number" "$withdrawn_secret")
    echo "node-$number responds to the withdrawn key: $response"
    [ "$response" = "401 not-run" ] || fail "node-$number accepts a withdrawn key"
done

echo "== drain $DRAINED"
operator 3 host drain "$DRAINED"
sleep 3
before=$("$BIN/standin-load" runs --backend "$DRAINED_BACKEND")
sleep 3
after=$("$BIN/standin-load" runs --backend "$DRAINED_BACKEND")
echo "jobs run by $DRAINED: $before, and $after three seconds later"
[ "$before" = "$after" ] || fail "$DRAINED got new work"

echo "== stop node-2 by SIGTERM during the load"
kill -TERM "${node_pids[2]}"
if wait "${node_pids[2]}"; then
    tail -n 1 "$OUT/node-2.log"
    grep -q 'graceful: true' "$OUT/node-2.log" || fail "node-2 cut off running requests"
else
    fail "node-2 did not exit cleanly"
fi

wait "$load_pid" || fail "the counts of the load are not consistent"
echo "== outcomes"
cat "$OUT/outcomes.txt"

echo "== timeline"
sleep 2
operator 1 timeline >"$OUT/timeline.txt"
operator 1 timeline --html "$OUT/timeline.html"
awk '$3 !~ /^(config-in-force|duty-)/' "$OUT/timeline.txt" | tail -n 40
for kind in "key-withdrawn" "host-step" "node-stopped"; do
    grep -q "$kind" "$OUT/timeline.txt" || fail "the timeline lacks $kind"
done
grep -q '^[0-9.]* node-2 .*node-stopped' "$OUT/timeline.txt" || fail "the last event of node-2 is missing"

if [ "$failures" -gt 0 ]; then
    echo "$failures check(s) failed"
    exit 1
fi
echo "all checks passed; timeline in $OUT/timeline.html"
