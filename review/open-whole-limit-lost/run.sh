#!/usr/bin/env bash
# Finding 13: a manifest lowers a tenant's max_count to 10 cores, and the tenant
# submits a job of one work item that needs 10 cores. The fleet has two cells;
# nothing else runs. Exits with 1 if LOST was broken, 0 if it held, 2 if it
# could not run. TROUBLE=0 leaves the manifest as it is, with 100 cores; CELLS=1
# does the same on a fleet of one cell.
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE=review/open-whole-limit-lost
NET=127.0.83
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

# 130 workers of 16 cores.
start_fleet "$CELLS" 130 200 2000 100000
sleep 2
if [ "${TROUBLE:-1}" != 0 ]; then
  operate /operator/limit '{"version":2,"cpu":10000}'
fi
sleep 5 # config_apply_ms is 3 s
[ "$(ask 1 POST /rounds/0000000000000001 -H 'Content-Type: application/json' \
  -d '{"spec":"lasts","steps":[{"count":1,"cpu":10000,"mem_mb":1,"estimate_ms":500,"long_running":true}]}')" = 200 ] ||
  could_not_run "the job was not accepted"
sleep 30
ask 2 GET /rounds/0000000000000001 >/dev/null
grep -q 'start 0000000000000001\.' "$RECORD" || echo "BROKEN LOST: job" \
  "0000000000000001 has had nothing running for 30 s; its tenant runs" \
  "nothing, and 130 workers have room for it" >>"$RECORD"
finish LOST
