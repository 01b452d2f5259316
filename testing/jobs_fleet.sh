# Functions that run entries for jobs on loopback, against the stand-in of the
# users' platform. Source this file with BUILD set to the build folder.
#
#   start_standin; start_entry 1; start_entry 2; wait_ready 1 2
#   submit 1 quotes 00000000000000a1 '{"spec":"x","steps":[...]}'
#   state 2 quotes 00000000000000a1
#   stop_all

WORK=$(mktemp -d)
NET=127.0.41
KEY=demo-key
declare -A PIDS=()

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# Sends SIGTERM, or another signal, to one process that was started here. Waits
# for the exit after KILL.
send_signal() { # NAME [SIGNAL]
  kill "-${2:-TERM}" "${PIDS[$1]}" 2>/dev/null || true
  if [ "${2:-TERM}" = KILL ]; then wait "${PIDS[$1]}" 2>/dev/null || true; fi
}

start_standin() { start_process standin "$BUILD/platform/platform_standin" "$NET"; }

start_entry() { # NUMBER
  cat >"$WORK/entry-$1.conf" <<CONF
node_name=entry-$1
ip=$NET.10$1
zone=demo-a
listen.front=$NET.10$1:8340
listen.ready=$NET.10$1:8343
internal_ports=7000,7015
advice=$NET.3:7400
platform.address=$NET.1:7400
cloud.address=$NET.2:7400
bounds.migrate_s=0.4
CONF
  touch "$WORK/tuning.toml"
  start_process "entry-$1" "$BUILD/packages/daemon/cuminbridge" \
    --settings "$WORK/entry-$1.conf" --tuning "$WORK/tuning.toml"
}

wait_for() { # TRIES COMMAND... ; one try every 0.1 s
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    "$@" && return 0
    sleep 0.1
  done
  echo "no success in $tries tries: $*" >&2
  return 1
}

is_ready() { curl -sf -m 2 -o /dev/null "http://$NET.10$1:8343/readiness"; }

wait_ready() { # NUMBERS...
  local number
  for number in "$@"; do wait_for 100 is_ready "$number"; done
}

ask() { # ENTRY METHOD PATH [curl args]
  local entry=$1 method=$2 path=$3
  shift 3
  curl -s -m 5 -X "$method" -H "Host: demo.example" -H "X-Api-Key: $KEY" \
    "$@" "http://$NET.10$entry:8340$path"
}

submit() { # ENTRY QUEUE ID BODY ; prints the HTTP status
  ask "$1" POST "/$2/$3" -o /dev/null -w '%{http_code}\n' \
    -H 'Content-Type: application/json' -d "$4"
}

state() { ask "$1" GET "/$2/$3"; } # ENTRY QUEUE ID

is_state() { [ "$(state "$1" "$2" "$3")" = "{\"state\":\"$4\"}" ]; }

# Runs the operators' command line against one entry, with a client account's
# key.
ctl() { # ENTRY WORDS...
  local entry=$1
  shift
  echo "$KEY" >"$WORK/key"
  "$BUILD/packages/ctl/cuminbridgectl" -e "$NET.10$entry:7000" \
    -k "$WORK/key" "$@"
}

# Prints every entry whose last owner event in its log is owner_began.
owner() {
  local name
  for name in "${!PIDS[@]}"; do
    case $name in
      entry-*)
        if [ "$(grep -oE '"event":"owner_(began|ended)"' "$WORK/$name.log" |
          tail -n 1)" = '"event":"owner_began"' ]; then
          echo "$name"
        fi
        ;;
    esac
  done
}

has_owner() { [ "$(owner | wc -l)" = 1 ]; }

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do send_signal "$name" KILL; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
