#!/usr/bin/env bash
# Finding 14: the owner shuts down just after a job was cancelled. While the work
# items of that job are being stopped, the next owner starts the tenant's next
# job on the same workers. These don't guard their capacity. Exits with 1 if
# LIMIT or QUOTA was broken, 0 if they held, 2 if it could not run. TROUBLE=0
# sends no SIGTERM; GUARDS=1 does the same with workers that guard theirs, and a
# tenant whose limit is a third of it (QUOTA only).
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE=review/open-handover-limit
NET=127.0.84
ENTRIES=3
SETTINGS="bounds.stop_timeout_ms=900
limits.cpu_share=0.25
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0"
rm -f $CASE/record.txt
. review/standin-3/fleet.sh
export GUARDS=${GUARDS:-0}
items=48
[ "$GUARDS" = 1 ] && items=16
cpu=$((items * 1000))

# 3 workers of 16 cores; a stop takes 800 ms.
start_fleet 1 3 800 2000 $cpu
owner=$(owners)
client=$((owner % ENTRIES + 1))
[ "$(submit_lasting $client 00000000000000a1 $items)" = 200 ] ||
  could_not_run "the first job was not accepted"
wait_for 100 is_running $cpu || could_not_run "the first job does not run"
[ "$(submit_lasting $client 00000000000000a2 $items)" = 200 ] ||
  could_not_run "the second job was not accepted"
sleep 3
is_running $cpu || could_not_run "the second job did not wait"
[ "$(ask $client DELETE /rounds/00000000000000a1)" = 200 ] ||
  could_not_run "the first job was not cancelled"
sleep 0.05
if [ "${TROUBLE:-1}" != 0 ]; then
  kill -TERM "${PIDS[entry-$owner]}"
  echo "$(date +%T.%3N) operator: SIGTERM to entry $owner" >>"$WORK/client"
fi
sleep 8
is_running $cpu || could_not_run "the second job does not run"
finish 'LIMIT|QUOTA'
