#!/usr/bin/env bash
# Measures what an entry spends on control traffic while it gets no requests, for
# fleets of 3 to 24 entries. Usage: BUILD=build/release testing/forwarder/measure_control.sh [SECONDS]
set -u
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT
trap 'exit 143' TERM INT
LOG_LEVEL=warn
SECONDS_MEASURED=${1:-20}

metric() { # NUMBER NAME
  curl -s "http://127.0.10.$1:9080/metrics" | sed -n "s/^cuminbridge_$2 //p"
}
ticks() { awk '{print $14 + $15}' "/proc/${PIDS[entry-$1]}/stat"; }
store_calls() { curl -s "http://$STORE/stats" | grep -o '"\(ranges\|txns\)":[0-9]*' | cut -d: -f2 | paste -sd+ | bc; }

echo "| entries | sent B/s | received B/s | core % | resident KiB | store calls/s, all |"
echo "| --- | --- | --- | --- | --- | --- |"
for count in 3 6 12 24; do
  WORK=$(mktemp -d)
  PIDS=()
  start_platform
  mapfile -t numbers < <(seq "$count")
  start_entries "${numbers[@]}"
  wait_ready "${numbers[@]}" || exit 1
  wait_for has_voters 1 "$count" || exit 1
  ticket=$(printf 'ticket = 1\n[pool.a]\nvms = ["127.0.20.1"]\nmin_available = 1\n'
    for account in 1 2 3 4 5 6; do
      printf '[account.t%s]\nkeys = []\nshare = 1\nlimit = 40\n' "$account"
    done)
  file_ticket 1 <<<"$ticket" >/dev/null
  sleep 5
  sent=$(metric 2 peer_bytes_sent) received=$(metric 2 peer_bytes_received)
  used=$(ticks 2) calls=$(store_calls)
  sleep "$SECONDS_MEASURED"
  sent=$(($(metric 2 peer_bytes_sent) - sent))
  received=$(($(metric 2 peer_bytes_received) - received))
  used=$(($(ticks 2) - used)) calls=$(($(store_calls) - calls))
  resident=$(awk '/VmRSS/{print $2}' "/proc/${PIDS[entry-2]}/status")
  printf '| %s | %s | %s | %s | %s | %s |\n' "$count" \
    $((sent / SECONDS_MEASURED)) $((received / SECONDS_MEASURED)) \
    "$(echo "scale=2; $used / $SECONDS_MEASURED" | bc)" "$resident" \
    "$(echo "scale=1; $calls / $SECONDS_MEASURED" | bc)"
  stop_fleet 2>/dev/null
done
