#!/usr/bin/env bash
# Finding 12: two workers have a label, one in each cell of the fleet. One of them
# is drained and taken away. Eight jobs that require the label are submitted
# later; nothing else runs, and the other worker has room for all of them. Exits
# with 1 if LOST was broken, 0 if it held, 2 if it could not run. TROUBLE=0 takes
# no worker away; CELLS=1 does all on a fleet of one cell.
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE=review/open-label-lost
NET=127.0.82
ENTRIES=3
CELLS=${CELLS:-2}
link=10 # Mbit/s, as the small entry machines have
[ "$CELLS" = 1 ] && link=200
SETTINGS="bounds.stop_timeout_ms=200
limits.cpu_share=0.12
limits.memory_mb=160
limits.max_fds=4100
limits.link_mbps=$link"
rm -f $CASE/record.txt
. review/standin-3/fleet.sh

# The workers with the numbers 4 and 5 have the kind "b", one in each cell. The
# tenant has no limit, and a worker has room for 16 work items.
start_fleet "$CELLS" 130 200 2000 0 4 5
sleep 2
if [ "${TROUBLE:-1}" != 0 ]; then
  operate /operator/leave '{"machine":"machine-1005"}'
fi
sleep 10
ids='01 02 03 04 05 06 07 08'
for id in $ids; do
  [ "$(ask 1 POST "/rounds/00000000000000$id" \
    -H 'Content-Type: application/json' -d \
    '{"spec":"lasts","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":500,"requires":"b","long_running":true}]}')" = 200 ] ||
    could_not_run "job $id was not accepted"
done
sleep 30
for id in $ids; do
  ask 2 GET "/rounds/00000000000000$id" >/dev/null
  grep -q "start 00000000000000$id\." "$RECORD" || echo "BROKEN LOST:" \
    "job $id has had nothing running for 30 s; machine-1004 has room for it" \
    >>"$WORK/judged"
done
cat "$WORK/judged" >>"$RECORD" 2>/dev/null
finish LOST
