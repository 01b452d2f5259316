#!/usr/bin/env bash
# Compares latency and throughput through one entry with those of the same client
# connected directly to the same target. Usage: BUILD=build/release testing/forwarder/measure_latency.sh
set -u
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT
trap 'exit 143' TERM INT
LOG_LEVEL=${LOG_LEVEL:-warn}
KEY="Authorization: Bearer k"
start_platform
start_entries 1
wait_ready 1 || exit 1
file_ticket 1 >/dev/null <<EOF
ticket = 1
[pool.a]
vms = [$(printf '"127.0.20.%s",' 1 2 3 4 5 6 7 8 | sed 's/,$//')]
min_available = 1
[account.t]
keys = ["$(hash_of k)"]
share = 1
limit = 64
EOF
ticks() { cut -d' ' -f14,15 "/proc/${PIDS[entry-1]}/stat" | tr ' ' '+' | bc; }
direct() { "$BUILD/testing/forwarder/load" "127.0.20.1:$TARGET_PORT" /x "$@"; }
through() { "$BUILD/testing/forwarder/load" 127.0.10.1:8080 /q/a/x "$@" "$KEY"; }
through 8 20000 0 >/dev/null # warm-up
for round in 1 2 3; do
  echo "round $round"
  echo "direct,  5000/s: $(direct 8 20000 5000)"
  echo "through, 5000/s: $(through 8 20000 5000)"
  before=$(ticks)
  echo "direct,  unlimited: $(direct 32 100000 0)"
  echo "through, unlimited: $(through 32 100000 0)"
  echo "entry's processor time per request: $(((($(ticks) - before) * 10000) / 100000)) us"
done
