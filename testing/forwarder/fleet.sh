# Functions that run a fleet on loopback, for the demo and for tests of whole
# processes. Source this file with BUILD set to the build folder.
#
#   start_platform; start_entries 1 2 3 4 5 6; wait_ready 1 2 3 4 5 6
#   file_ticket 1 < ticket.toml        # through entry 1
#   call 3 GET /q/a/hello [curl args]  # a caller, through entry 3
#   stop_fleet

WORK=$(mktemp -d)
STORE=127.0.30.1:2379
VM_LIST=127.0.30.2:8500
TARGET_PORT=9000
CREDENTIAL=operator-credential
declare -A PIDS=()

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# Sends SIGTERM, or another signal, to one process that was started here.
send_signal() { # NAME [SIGNAL]
  kill "-${2:-TERM}" "${PIDS[$1]}" 2>/dev/null || true
}

start_store() { start_process store "$BUILD/testing/forwarder/standin_store" "$STORE"; }

start_platform() { # [VM ADDRESS...] ; by default ten VMs
  local vms=("$@")
  [ ${#vms[@]} -gt 0 ] || vms=(127.0.20.{1..10})
  start_store
  start_process vms "$BUILD/testing/forwarder/standin_vms" "$VM_LIST"
  start_process targets "$BUILD/testing/forwarder/standin_target" "$TARGET_PORT" "${vms[@]}"
  wait_for curl -sf "http://$VM_LIST/stats"
  wait_for curl -sf "http://$STORE/stats"
  wait_for curl -sf "http://${vms[0]}:$TARGET_PORT/stats"
  local vm list=""
  for vm in "${vms[@]}"; do
    list+="${list:+,}{\"address\":\"$vm\",\"status\":\"live\"}"
  done
  curl -sf -X PUT "http://$VM_LIST/v1/vms" -d "[$list]" >/dev/null
}

write_settings() { # NUMBER
  local centres=(a b c)
  cat >"$WORK/entry-$1.toml" <<EOF
data_centre = "${centres[$((($1 - 1) / 2 % 3))]}"
[listen]
callers = "127.0.10.$1:8080"
operators = "127.0.10.$1:9080"
peers = "127.0.10.$1:7080"
[peers]
seeds = ["127.0.10.1:7080", "127.0.10.2:7080", "127.0.10.3:7080"]
credential_file = "$WORK/peers.key"
[operators]
credential_file = "$WORK/operators.key"
[store]
addresses = ["$STORE"]
[vm_list]
address = "$VM_LIST"
[targets]
port = $TARGET_PORT
[log]
level = "${LOG_LEVEL:-info}"
${TIMES:-}
EOF
}

start_entries() { # NUMBER...
  echo "$CREDENTIAL" >"$WORK/operators.key"
  echo "peers-credential" >"$WORK/peers.key"
  local number
  for number in "$@"; do
    write_settings "$number"
    start_process "entry-$number" "$BUILD/packages/forwarder/entry/cuminbridge_forwarder" \
      --settings "$WORK/entry-$number.toml"
  done
}

wait_for() { # COMMAND... ; fails after 30 s
  local tries
  for tries in $(seq 300); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "no success within 30 s: $*" >&2
  return 1
}

is_ready() { curl -sf "http://127.0.10.$1:9080/readyz"; }

wait_ready() { # NUMBER...
  local number
  for number in "$@"; do
    wait_for is_ready "$number" || return 1
  done
}

control() { # NUMBER COMMAND...
  local number=$1
  shift
  "$BUILD/packages/ctl/cuminbridgectl" -e "127.0.10.$number:9080" \
    -c "$WORK/operators.key" "$@"
}

# Whether the configuration in force at an entry names exactly COUNT voters.
has_voters() { # NUMBER COUNT
  [ "$(control "$1" --json in-force | grep -o '"voter":true' | wc -l)" = "$2" ]
}

file_ticket() { # NUMBER < TEXT
  cat >"$WORK/ticket.toml"
  control "$1" ticket file "$WORK/ticket.toml"
}

call() { # NUMBER METHOD PATH [CURL ARGUMENT...]
  local number=$1 method=$2 path=$3
  shift 3
  curl -s -X "$method" "http://127.0.10.$number:8080$path" "$@"
}

# Prints the HTTP status of a call.
status() { call "$@" -o /dev/null -w '%{http_code}'; }

# Prints and counts a failure unless GOT equals WANTED.
failures=0
expect() { # WHAT WANTED GOT
  if [ "$2" != "$3" ]; then
    echo "FAILED $1: wanted '$2', got '$3'"
    failures=$((failures + 1))
  fi
}

hash_of() { echo "sha256:$(printf %s "$1" | sha256sum | cut -d' ' -f1)"; }

stop_fleet() {
  local name
  for name in "${!PIDS[@]}"; do
    send_signal "$name" CONT
    send_signal "$name" KILL
  done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
