#!/usr/bin/env bash
# Finding 15: a wave with max_count 1 over machines of two cells. Exits with 1 if
# LIMIT was broken, 0 if it held, 2 if it could not run. TROUBLE=0 does the same
# without a wave; CELLS=1 plays the wave on machines of one cell.
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE=review/open-wave-limit
NET=127.0.85
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

# 130 workers; an upkeep takes 2 s, as maintenance_s says.
start_fleet "$CELLS" 130 200 2000 0
sleep 2
if [ "${TROUBLE:-1}" != 0 ]; then
  operate /operator '{"key":"op/wave/1","value":{"wave":1,"machines":["machine-1000","machine-1001","machine-1002","machine-1003"],"duration_s":26,"max_count":1}}'
  is_over() { [ "$(grep -c 'upkeep ended' "$RECORD")" = 4 ]; }
  wait_for 500 is_over || could_not_run "the wave did not end"
else
  sleep 30
fi
finish LIMIT
