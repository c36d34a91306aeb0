# Functions for scripts that start our processes and the stand-ins.
# The caller sets BUILD (build folder) and WORK (folder for files).

BASE_PORT=${BASE_PORT:-21000}
KEY_PHRASE="scenario key, not secret"
# Operators of scenarios: "erika" with this token, and its hash.
OPERATOR_TOKEN="operator-token"
OPERATOR_TOKEN_2="second-token"
OPERATOR_HASH_2="359c0f0b1c20d988f30ef59e0ecd7d522c9be0a92197123cae48784a342b8a19"
OPERATOR_HASH="83610523f0286e15fbce40c0d1e51ddefdd7bd3deeadd7d7cf3aa2e4a32cc01f"
PIDS=()

start() { # name command...
  local name=$1
  shift
  # A process that is started again writes on where the one before ended.
  "$@" >>"$WORK/$name.out" 2>>"$WORK/$name.log" &
  disown
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

pid_of() { eval "echo \$PID_${1//-/_}"; }

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
  sleep 0.1
}

# For a trap on EXIT: ends the processes, and keeps what they wrote when the
# scenario failed.
clean_up() {
  local status=$?
  stop_all
  if [ "$status" -ne 0 ]; then
    local kept
    mkdir -p out/failed
    kept=$(mktemp -d "out/failed/$(basename "$0")-XXXXXX")
    cp -r "$WORK/." "$kept"
    echo "logs: $kept"
  fi
  rm -rf "$WORK"
}

settings() { # role node data_centre http_port internal_port
  local public=$5
  case " ${RELAYED:-} " in *" $2 "*) public=$(($5 + 400)) ;; esac
  cat <<JSON
{"role": "$1", "node": "$2", "region": "great-lakes", "data_centre": "$3",
 "public_internal": "127.0.0.1:$public",
 "listen_http": "127.0.0.1:$4", "listen_internal": "127.0.0.1:$5",
 "table_service": "127.0.0.1:$BASE_PORT", "cluster_key": "$KEY_PHRASE",
 "operator_token_hashes": "erika:$OPERATOR_HASH,jonas:$OPERATOR_HASH_2"}
JSON
}

start_store() { start store "$BUILD/standins/standin-tablestore" --listen "127.0.0.1:$BASE_PORT"; }

entry_addr() { echo "127.0.0.1:$((BASE_PORT + 100 + $1))"; }

start_entry() { # number data_centre
  settings entry "entry-$1" "$2" $((BASE_PORT + 100 + $1)) $((BASE_PORT + 200 + $1)) >"$WORK/entry-$1.json"
  # shellcheck disable=SC2086 # a command with its arguments
  start "entry-$1" ${ENTRY_WRAP:-} "$BUILD/daemon/jacinthpickd" "$WORK/entry-$1.json"
}

start_agent() { # number data_centre
  settings agent "agent-$1" "$2" $((BASE_PORT + 300 + $1)) $((BASE_PORT + 400 + $1)) >"$WORK/agent-$1.json"
  start "agent-$1" "$BUILD/daemon/jacinthpickd" "$WORK/agent-$1.json"
}

start_upstream() { # number options...
  local n=$1
  shift
  start "upstream-$n" "$BUILD/standins/standin-upstream" --listen "127.0.0.1:$((BASE_PORT + 500 + n))" \
    --agent "127.0.0.1:$((BASE_PORT + 300 + n))" --journal "$WORK/journal-$n" "$@"
}

jp() { # entry_number arguments...
  local n=$1
  shift
  "$BUILD/cli/jacinthpick" --entry "$(entry_addr "$n")" "$@"
}

admin() { # entry_number arguments... : as an operator
  local n=$1
  shift
  "$BUILD/cli/jacinthpick" --entry "$(entry_addr "$n")" --token "$OPERATOR_TOKEN" --json "$@"
}

wait_for() { # seconds command... : until the command succeeds
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.1
  done
}

job() { # tasks run_ms service deadline_ms
  python3 - "$@" <<'PY'
import json, sys
n, ms, service, deadline = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3], int(sys.argv[4])
print(json.dumps({"service": service, "kind": "buff-plan", "deadline_ms": deadline,
    "tasks": [{"no": i + 1, "input": json.dumps({"ms": ms, "n": i + 1})} for i in range(n)]}))
PY
}

count_starts() { cat "$WORK"/journal-* 2>/dev/null | awk -v k="$1" '$1 == "start" && $2 == k' | wc -l; }
count_repeats() { cat "$WORK"/journal-* 2>/dev/null | awk -v k="$1" '$1 == "start" && $2 == k {n[$3]++} END {for (t in n) if (n[t] > 1) r += n[t] - 1; print r + 0}'; }

# A relay in front of a process's internal address, to be started before it:
# set RELAYED="entry-1 agent-2" and other processes reach these through it.
start_relay() { # entry|agent number
  local base=200
  [ "$1" = agent ] && base=400
  local port=$((BASE_PORT + base + $2))
  start "relay-$1-$2" "$BUILD/standins/standin-relay" --listen "127.0.0.1:$((port + 400))" \
    --to "127.0.0.1:$port" --control "127.0.0.1:$((port + 410))"
}

relay_faults() { # entry|agent number json
  local base=200
  [ "$1" = agent ] && base=400
  curl -s -d "$3" "127.0.0.1:$((BASE_PORT + base + $2 + 410))/faults" >/dev/null
}
