#!/usr/bin/env bash
# Tests three entries as processes: jobs through any of them, a killed owner, a
# graceful shutdown and invalid input. No result depends on how fast the machine
# is.
set -euo pipefail
cd "$(dirname "$0")/.."
. testing/jobs_fleet.sh
trap stop_all EXIT
failures=0

expect() { # WHAT WANTED GOT
  if [ "$2" = "$3" ]; then
    echo "good: $1"
  else
    echo "FAILED: $1: wanted '$2', got '$3'"
    failures=$((failures + 1))
  fi
}

expect_state() { # ENTRY QUEUE ID STATE
  if wait_for 200 is_state "$@"; then
    echo "good: job $3 is $4 at entry $1"
  else
    echo "FAILED: job $3 at entry $1: wanted $4, got $(state "$1" "$2" "$3")"
    failures=$((failures + 1))
  fi
}

SMALL='{"spec":"takes=200","steps":[{"count":3,"cpu":1000,"estimate_ms":200},{"count":2,"cpu":2000,"estimate_ms":200,"after":[0]}]}'
LONG='{"spec":"takes=1500","steps":[{"count":12,"cpu":4000,"estimate_ms":1500}]}'
LONG_RUNNING='{"spec":"lasts","steps":[{"count":2,"cpu":1000,"long_running":true,"max_unavailable":1}]}'

start_standin
for number in 1 2 3; do start_entry $number; done
wait_ready 1 2 3
wait_for 100 has_owner

expect "a job is accepted" 200 "$(submit 1 quotes 00000000000000a1 "$SMALL")"
expect "a repeated submission is the same job" 200 \
  "$(submit 2 quotes 00000000000000a1 "$SMALL")"
expect_state 1 quotes 00000000000000a1 completed
expect_state 3 quotes 00000000000000a1 completed

expect "a job on a queue with advice" 200 \
  "$(submit 2 payouts 00000000000000a2 "$SMALL")"
expect_state 2 payouts 00000000000000a2 completed

expect "a long-running job is accepted" 200 "$(submit 3 rounds 00000000000000a3 "$LONG_RUNNING")"
expect_state 3 rounds 00000000000000a3 serving
expect "the long-running job is cancelled" 200 \
  "$(ask 1 DELETE /rounds/00000000000000a3 -o /dev/null -w '%{http_code}')"
expect_state 2 rounds 00000000000000a3 cancelled

expect "an unknown job" 410 \
  "$(ask 1 GET /rounds/00000000000000ff -o /dev/null -w '%{http_code}')"
expect "an unknown queue" 404 "$(submit 1 nowhere 00000000000000a4 "$SMALL")"
expect "a body that is not JSON" 400 "$(submit 1 quotes 00000000000000a4 'x')"
expect "a step that depends on itself" 400 \
  "$(submit 1 quotes 00000000000000a4 '{"spec":"","steps":[{"count":1,"after":[0]}]}')"
expect "a wrong key" 401 "$(KEY=stolen submit 1 quotes 00000000000000a4 "$SMALL")"
expect "none of the refused jobs was stored" 410 \
  "$(ask 1 GET /quotes/00000000000000a4 -o /dev/null -w '%{http_code}')"

# Jobs, pools, accounts and queues with the operators' command line, through any
# entry.
cat >"$WORK/job.toml" <<JOB
spec = "takes=200"
[step.1]
count = 2
cpu_millis = 1000
estimate_ms = 200
[step.2]
count = 1
cpu_millis = 2000
after = ["1"]
JOB
expect "a job file is submitted" "accepted 00000000000000c1" \
  "$(ctl 2 job submit quotes "$WORK/job.toml" 00000000000000c1)"
is_read() { [ "$(ctl 3 job read quotes 00000000000000c1)" = "state: completed" ]; }
if wait_for 200 is_read; then echo "good: the job of the job file is completed"; else
  echo "FAILED: the job of the job file: $(ctl 3 job read quotes 00000000000000c1)"
  failures=$((failures + 1))
fi
expect "the number of waiting jobs" "waiting: 0" "$(ctl 1 job list quotes)"
echo 'spec = 1' >"$WORK/bad.toml"
expect "an invalid job file is refused" 1 \
  "$(ctl 1 job submit quotes "$WORK/bad.toml" >/dev/null 2>&1 || echo $?)"
expect "a wrong key on the command line" 1 \
  "$(KEY=stolen ctl 1 job read quotes 00000000000000c1 >/dev/null 2>&1 || echo $?)"
for entry in 1 2 3; do
  expect "entry $entry shows the three pools" 3 \
    "$(ctl $entry fleet pools | grep -cE 'planning|dispatch|spare')"
done
expect "accounts with their limits" 1 "$(ctl 2 fleet accounts | grep -c depots)"
expect "the queues" 3 "$(ctl 3 fleet queues | grep -c demo.example)"
expect "the owner" "owner: $(owner)" "$(ctl 1 fleet owner | grep '^owner')"

# The tuning file is checked, and read again on SIGHUP.
expect "valid settings pass --check" good \
  "$("$BUILD/packages/daemon/cuminbridge" --check --settings "$WORK/entry-1.conf")"
echo '[fleet]
run_wait_ms = 300' >"$WORK/tuning.toml"
send_signal entry-1 HUP
is_reloaded() { grep -q 'fleet.run_wait_ms 400 -> 300' "$WORK/entry-1.log"; }
if wait_for 50 is_reloaded; then echo "good: SIGHUP changes a setting"; else
  echo "FAILED: SIGHUP did not change fleet.run_wait_ms"
  failures=$((failures + 1))
fi
echo 'run_wait_ms = 300' >"$WORK/tuning.toml"
send_signal entry-1 HUP
is_refused() { grep -q '"event":"tuning_refused"' "$WORK/entry-1.log"; }
if wait_for 50 is_refused; then echo "good: an invalid tuning file is refused"; else
  echo "FAILED: an invalid tuning file was not refused"
  failures=$((failures + 1))
fi

# The owner is killed while a job runs: another owner completes the job, and no
# item runs twice at once.
expect "a long job" 200 "$(submit 1 rounds 00000000000000b1 "$LONG")"
wait_for 100 is_state 2 rounds 00000000000000b1 serving
killed=$(owner)
send_signal "$killed" KILL
unset "PIDS[$killed]"
left=1
[ "$killed" = entry-1 ] && left=2
expect_state $left rounds 00000000000000b1 completed

# The next owner shuts down gracefully: the running job is still completed.
wait_for 100 has_owner
expect "another long job" 200 "$(submit $left rounds 00000000000000b2 "$LONG")"
stopped=$(owner)
send_signal "$stopped" TERM
wait "${PIDS[$stopped]}" && code=0 || code=$?
expect "a graceful shutdown ends with 0" 0 "$code"
unset "PIDS[$stopped]"
for number in 1 2 3; do
  [ -n "${PIDS[entry-$number]:-}" ] && left=$number
done
expect_state "$left" rounds 00000000000000b2 completed

# A wave of maintenance over two VMs.
curl -s -d '{"key":"op/wave/1","value":{"wave":1,"machines":["vm-1","vm-4"],"duration_s":20,"max_count":1}}' \
  "http://$NET.1:7400/operator"
wave_is_over() {
  curl -s "http://$NET.1:7400/kv-key?key=status/wave/1" |
    grep -q "$(printf '{"state":"completed"}' | base64 -w 0)"
}
if wait_for 300 wave_is_over; then
  echo "good: the wave is completed"
else
  echo "FAILED: the wave is not completed"
  failures=$((failures + 1))
fi

expect "no item ran twice at the same time" 0 \
  "$(grep -c 'DOUBLE RUN' "$WORK/standin.log" || true)"
if [ "$failures" -gt 0 ]; then
  tail -n 20 "$WORK"/*.log
  exit 1
fi
