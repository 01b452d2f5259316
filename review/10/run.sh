#!/usr/bin/env bash
# The owner is cut off from the store. Then a new version of the manifest adds a
# queue, which another entry serves. The store turns that entry away. Exits with
# 1 if the same process then says of the queue that there is none.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
DOORS=1
. review/standin-2/fleet.sh

door() { # ENTRY MODE
  call POST "$NET.2:7400" /door none "{\"entry\":$1,\"mode\":\"$2\"}" >/dev/null
  note "entry $1, way to the store: $2"
}

# Prints the status of a GET of the new queue's count at an entry.
count() { # ENTRY
  local answer
  answer=$(call GET "$NET.10$1:8340" /fresh/ depots-key)
  note "GET /fresh/ at entry $1: answered ${answer%% *}" >&2
  echo "${answer%% *}"
}

start_fleet
sleep 2
owner=$(grep -l owner_began "$WORK"/entry-*.log | tail -n 1)
owner=${owner%.log}
owner=${owner##*-}
other=$((owner % 3 + 1))
note "entry $owner is the owner"
[ "${TROUBLE:-1}" = 0 ] || door "$owner" silent
sleep 0.1
call POST "$NET.2:7400" /add-queue none '{}' >/dev/null
note "the manifest has a new queue"
sleep 0.2
[ "$(count $other)" = 200 ] || cannot_run "the new queue is not served"
sleep 0.3
[ "${TROUBLE:-1}" = 0 ] || door "$other" busy
regressed=0
for _ in $(seq 12); do
  sleep 0.3
  status=$(count $other)
  [ "$status" = 404 ] && regressed=$((regressed + 1))
done
door "$owner" open
door "$other" open
grep -h 'config_seen\|"owner_\|store_' "$WORK"/entry-*.log | cut -c1-220 >>"$RECORD"
note "answers 404 after the queue was served: $regressed"
[ "$regressed" -gt 0 ] && finish 1
finish 0
