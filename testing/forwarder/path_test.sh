#!/usr/bin/env bash
# Tests the path from caller to target with separate processes: a ticket is filed,
# a request with a key is answered through each of six entries, and invalid
# tickets and requests are refused.
set -u
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT
trap 'exit 143' TERM INT

outcome() { call "$@" -o /dev/null -D - | tr -d '\r' | sed -n 's/^Cuminbridge-Outcome: //p'; }

start_platform
start_entries 1 2 3 4 5 6
wait_ready 1 2 3 4 5 6 || exit 1
wait_for has_voters 1 6 || exit 1

KEY="Authorization: Bearer key-one"
file_ticket 1 >/dev/null <<EOF
ticket = 1
[pool.a]
vms = ["127.0.20.1", "127.0.20.2", "127.0.20.3"]
min_available = 2
[pool.open]
vms = ["127.0.20.4"]
min_available = 1
open = true
[account.t]
keys = ["$(hash_of key-one)"]
share = 1
limit = 20
EOF
expect "filing exit code" 0 $?
control 2 ticket file "$WORK/ticket.toml" >/dev/null
expect "the same ticket again" 0 $?
sed -i 's/limit = 20/limit = 21/' "$WORK/ticket.toml"
control 3 ticket file "$WORK/ticket.toml" >/dev/null
expect "another ticket with that number" 1 $?
printf 'ticket = 2\n[pool.b]\nvms = ["127.0.20.1"]\nmin_available = 1\n' |
  file_ticket 4 >"$WORK/refused"
expect "a VM in two pools" 1 $?
grep -q 'is in pool a' "$WORK/refused" || expect "its finding" "is in pool a" "$(cat "$WORK/refused")"

for number in 1 2 3 4 5 6; do
  expect "request through $number" 200 \
    "$(status $number GET /q/a/hello -H "$KEY")"
  expect "its outcome" ran "$(outcome $number GET /q/a/hello -H "$KEY")"
  expect "no key" 401 "$(status $number GET /q/a/hello)"
  expect "its outcome" not-run "$(outcome $number GET /q/a/hello)"
  expect "open pool" 200 "$(status $number GET /q/open/hello)"
  expect "no such pool" 404 "$(status $number GET /q/none/hello -H "$KEY")"
done

head -c 300000 /dev/urandom >"$WORK/body"
call 2 POST '/q/a/x?echo=1' -H "$KEY" --data-binary "@$WORK/body" -o "$WORK/back"
cmp -s "$WORK/body" "$WORK/back" || expect "body there and back" same different
call 2 POST '/q/a/x?echo=1' -H "$KEY" -H 'Transfer-Encoding: chunked' \
  --data-binary "@$WORK/body" -o "$WORK/back"
cmp -s "$WORK/body" "$WORK/back" || expect "chunked body there and back" same different

CALLS=()
# Two requests with the same Idempotency-Key through two entries at once: exactly
# one of them runs.
for number in 1 5; do
  call $number POST '/q/a/pay?sleep_ms=300' -H "$KEY" -H 'X-Job: pay-1' \
    -H 'Idempotency-Key: pay-1' -o "$WORK/pay-$number" &
  CALLS+=($!)
done
wait "${CALLS[@]}"
begun=$(curl -s "http://127.0.20.1:$TARGET_PORT/stats" | grep -o '"pay-1":[0-9]*')
expect "keyed job begun" '"pay-1":1' "$begun"

[ $failures -eq 0 ] && echo "path: good"
exit $failures
