#!/usr/bin/env bash
# Finding 11: a worker crashes and starts again under its id. The owner's repeated
# renewal reaches the new process. Later the owner is killed and the worker cut
# off. The next owner starts the worker's work items elsewhere while they run.
# Exits with 1 if TWICE was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the crash, the kill and the cut.
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE=review/open-restart-twice
NET=127.0.81
ENTRIES=3
SETTINGS="bounds.stop_timeout_ms=200
limits.cpu_share=0.25
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0"
rm -f $CASE/record.txt
. review/standin-3/fleet.sh

# 8 workers of 16 cores, two of which have the label "b"; the tenant has no
# limit.
start_fleet 1 8 200 2000 0 0 1
submit_b() { # ID ; a job of 8 work items that require the label
  [ "$(ask $client POST "/rounds/$1" -H 'Content-Type: application/json' -d \
    '{"spec":"lasts","steps":[{"count":8,"cpu":1000,"mem_mb":1,"estimate_ms":500,"requires":"b","long_running":true}]}')" = 200 ] ||
    could_not_run "job $1 was not accepted"
}
owner=$(owners)
client=$((owner % ENTRIES + 1))
submit_b 00000000000000a1
wait_for 100 is_running 8000 || could_not_run "the first job does not run"
worker=$(grep -oE 'on machine-[0-9]+' "$RECORD" | head -n 1 | cut -d ' ' -f 2)
# 600 more jobs, with a spec of 1,000 bytes, as a fleet at work has; 96 of them
# fit.
spec=$(printf '%01000d' 0)
for number in $(seq 1000 1599); do
  [ "$(ask $client POST "/rounds/000000000000$number" \
    -H 'Content-Type: application/json' -d \
    "{\"spec\":\"$spec\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":500,\"requires\":\"a\",\"long_running\":true}]}")" = 200 ] ||
    could_not_run "job $number was not accepted"
done
wait_for 100 is_running 104000 || could_not_run "the other jobs do not run"
sleep 1
trouble=${TROUBLE:-1}
[ "$trouble" != 0 ] &&
  operate /operator/crash "{\"machine\":\"$worker\",\"ms\":200}"
sleep 2
is_running 104000 || could_not_run "the first job does not run again"
submit_b 00000000000000a2
submit_b 00000000000000a3
wait_for 20 is_running 120000 || could_not_run "the later jobs do not run"
sleep 0.3
if [ "$trouble" != 0 ]; then
  kill -KILL "${PIDS[entry-$owner]}"
  echo "$(date +%T.%3N) operator: SIGKILL to entry $owner" >>"$WORK/client"
  sleep 0.2
  start_entry "$owner"
  operate /operator/cut "{\"machine\":\"$worker\",\"ms\":5500}"
fi
sleep 9
finish TWICE
