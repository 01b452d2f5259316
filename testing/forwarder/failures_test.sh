#!/usr/bin/env bash
# Tests the forwarder's processes under failures: killed and frozen entries, a
# stopped store, graceful shutdowns under load, large bodies, and input that must
# be refused. Results rest on counts and statuses, never on how fast the machine
# is.
set -u
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT
trap 'exit 143' TERM INT
LOG_LEVEL=warn
KEY="Authorization: Bearer key-one"

field() { grep -o "\"$1\":[0-9]*" | head -n 1 | cut -d: -f2; }
ticket() { # NUMBER KEYS ROUND
  cat <<EOF
ticket = $1
[pool.a]
vms = ["127.0.20.1", "127.0.20.2", "127.0.20.3", "127.0.20.4", "127.0.20.5"]
min_available = 4
round = $3
[account.t]
keys = [$2]
share = 1
limit = 40
EOF
}
# Sends a raw request and prints the first line of the answer.
raw() { # NUMBER TEXT
  exec 9<>"/dev/tcp/127.0.10.$1/8080"
  printf "$2" >&9
  timeout 5 head -n 1 <&9 | tr -d '\r'
  exec 9>&-
}

start_platform
start_entries 1 2 3 4 5 6
wait_ready 1 2 3 4 5 6 || exit 1
wait_for has_voters 1 6 || exit 1
HASH="\"$(hash_of key-one)\""
ticket 1 "$HASH" 0 | file_ticket 1 >/dev/null
expect "filing" 0 $?

# Malformed input must be refused and never reach a target: a target that finds
# another end of the body than the entry would allow request smuggling.
Q='/q/a/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-one\r\nX-Job: smuggled\r\n'
raw_status() { raw 2 "$1" | cut -d' ' -f2; }
expect "two lengths" 400 "$(raw_status "POST ${Q}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")"
expect "length and chunked" 400 "$(raw_status "POST ${Q}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")"
expect "unknown encoding" 400 "$(raw_status "POST ${Q}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n")"
# A caller that still sends when its request is refused gets the answer.
refused_early() {
  exec 9<>"/dev/tcp/127.0.10.2/8080"
  printf "POST ${Q}Transfer-Encoding: xchunked\r\n\r\n" >&9
  sleep 0.3
  printf '0\r\n' >&9
  sleep 0.1
  printf '\r\n' >&9
  timeout 5 head -n 1 <&9 | tr -d '\r' | cut -d' ' -f2
  exec 9>&-
}
expect "refused while sending" 400 "$(refused_early)"
expect "no host" 400 "$(raw_status 'GET /q/a/x HTTP/1.1\r\nX-Job: smuggled\r\n\r\n')"
expect "not HTTP" 400 "$(raw_status 'hello there\r\n\r\n')"
expect "large header" 431 "$(raw_status "GET ${Q}X-Large: $(head -c 20000 /dev/zero | tr '\0' x)\r\n\r\n")"
expect "none reached a target" 0 "$(curl -s "http://127.0.20.1:$TARGET_PORT/stats" | grep -c smuggled)"

# Pipelined requests are answered in order.
exec 9<>/dev/tcp/127.0.10.3/8080
printf "GET /q/a/first HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-one\r\n\r\nGET /q/a/second HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-one\r\nConnection: close\r\n\r\n" >&9
expect "pipelined answers" "/first /second " "$(timeout 5 grep -ao '/first\|/second' <&9 | tr '\n' ' ')"
exec 9>&-

# 1 GiB in each direction, with a peak of less than 64 MiB of resident memory:
# bodies are streamed, not held in memory.
GIGABYTE=1073741824
got=$(call 4 GET "/q/a/x?bytes=$GIGABYTE" -H "$KEY" -o /dev/null -w '%{size_download}')
expect "1 GB down" $GIGABYTE "$got"
got=$(head -c $GIGABYTE /dev/zero | call 4 POST /q/a/x -H "$KEY" -H 'Expect:' -T - | awk '{print $4}')
expect "1 GB up" $GIGABYTE "$got"
peak=$(awk '/VmHWM/{print $2}' "/proc/${PIDS[entry-4]}/status")
[ "$peak" -lt 65536 ] || expect "resident memory of entry 4 in KiB" "below 65536" "$peak"

# A graceful shutdown under load cuts no answer.
"$BUILD/testing/forwarder/load" 127.0.10.5:8080 "/q/a/x?sleep_ms=20" 30 3000 0 "$KEY" >"$WORK/load-5" &
load=$!
call 5 GET '/q/a/x?sleep_ms=3000' -H "$KEY" -o /dev/null -w '%{http_code}' >"$WORK/slow" &
slow=$!
sleep 0.5
send_signal entry-5
wait "${PIDS[entry-5]}"
expect "exit code after SIGTERM" 0 $?
wait $load $slow
expect "the long request" 200 "$(cat "$WORK/slow")"
answered=$(field 200 <"$WORK/load-5")
# Requests that come after the listener has closed find no connection; no request
# is answered with "not-run".
expect "refused while draining" 0 "$(field not_run <"$WORK/load-5")"
begun=$(call 1 GET /q/a/x -H "$KEY" -o /dev/null; curl -s "http://127.0.20.1:$TARGET_PORT/stats" | grep -o '"[0-9]*":1' | wc -l)
[ "$begun" -le "$answered" ] || expect "jobs begun, of $answered answered" "$answered" "$begun"
start_entries 5
wait_ready 5 || exit 1

# An entry killed under load: the other entries go on without cut or failed
# requests, and the killed entry joins again with no state.
"$BUILD/testing/forwarder/load" 127.0.10.6:8080 /q/a/x 10 4000 1000 "$KEY" >"$WORK/load-6" &
load=$!
sleep 1
send_signal entry-1 KILL
wait $load
expect "cut at entry 6" 0 "$(field cut <"$WORK/load-6")"
expect "answered at entry 6" 4000 "$(field 200 <"$WORK/load-6")"
start_entries 1
wait_ready 1 || exit 1

# All six entries are replaced one after another, while callers send requests
# through an entry that is not being replaced.
replace() { # NUMBER
  send_signal "entry-$1"
  wait "${PIDS[entry-$1]}"
  expect "exit code of entry $1" 0 $?
  start_entries "$1"
  wait_ready "$1" && wait_for has_voters "$1" 6
}
load_while_replacing() { # ASKED NUMBER...
  local asked=$1 number load
  shift
  "$BUILD/testing/forwarder/load" "127.0.10.$asked:8080" /q/a/x 10 1000000 500 "$KEY" >"$WORK/load" &
  load=$!
  for number in "$@"; do
    replace "$number" || expect "entry $number joins again" yes no
  done
  kill -INT $load
  wait $load
  expect "cut at entry $asked" 0 "$(field cut <"$WORK/load")"
  expect "statuses at entry $asked" '"statuses":{"200"' "$(grep -o '"statuses":{"[0-9]*"' "$WORK/load")"
  expect "refused at entry $asked" 0 "$(field not_run <"$WORK/load")"
}
wait_for has_voters 6 6 || exit 1
load_while_replacing 6 1 2 3 4 5
load_while_replacing 1 6

# A key is withdrawn while an entry is frozen (SIGSTOP): once it runs again, it
# must not serve the key on its outdated configuration.
send_signal entry-2 STOP
ticket 2 '' 0 | file_ticket 3 >/dev/null
expect "withdrawing the key" 0 $?
sleep 5
send_signal entry-2 CONT
served=0
for try in $(seq 40); do
  [ "$(status 2 GET /q/a/x -H "$KEY")" = 200 ] && served=$((served + 1))
  sleep 0.05
done
expect "served with a withdrawn key" 0 $served
for number in 1 3 4 5 6; do
  expect "withdrawn key at $number" 401 "$(status $number GET /q/a/x -H "$KEY")"
done
ticket 3 "$HASH" 0 | file_ticket 4 >/dev/null
expect "restoring the key" 0 $?

# The store is killed: requests are still served; filing a ticket changes nothing
# and says so.
send_signal store KILL
sleep 4
for number in 1 2 3 4 5 6; do
  expect "without the store, at $number" 200 "$(status $number GET /q/a/x -H "$KEY")"
done
ticket 4 '' 0 >"$WORK/ticket.toml"
control 3 ticket file "$WORK/ticket.toml" >"$WORK/filing" 2>&1
expect "filing without the store" 3 $?
grep -q 'nothing changed' "$WORK/filing" || expect "its answer" "nothing changed" "$(cat "$WORK/filing")"
expect "still in force" 200 "$(status 5 GET /q/a/x -H "$KEY")"

[ $failures -eq 0 ] && echo "failures: good"
exit $failures
