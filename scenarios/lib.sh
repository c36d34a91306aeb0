# Functions for scripts that start entries, agents and the stand-ins on loopback.
# The sourcing script sets BUILD (build directory) and WORK (directory for
# settings, logs and journals).
#
# Ports: the table service listens on BASE_PORT; process number n uses BASE_PORT +
# 100 + n (entry, HTTP), 200 + n (entry, internal), 300 + n (agent, HTTP), 400 + n
# (agent, internal), 500 + n (upstream). A relay adds 400 to the internal port for
# traffic and 410 for its control interface.

BASE_PORT=${BASE_PORT:-21000}
KEY_PHRASE="scenario key, not secret"
# Tokens of the operators "erika" and "jonas", and their hashes.
OPERATOR_TOKEN="operator-token"
OPERATOR_HASH="83610523f0286e15fbce40c0d1e51ddefdd7bd3deeadd7d7cf3aa2e4a32cc01f"
OPERATOR_TOKEN_2="second-token"
OPERATOR_HASH_2="359c0f0b1c20d988f30ef59e0ecd7d522c9be0a92197123cae48784a342b8a19"
PIDS=()

# Starts a command in the background. Its process id is kept for pid_of and
# stop_all; its output goes to $WORK/NAME.out and $WORK/NAME.log.
start() { # name command...
  local name=$1
  shift
  # Append, so that a restarted process keeps the output of the previous one.
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

# For a trap on EXIT: kills the processes and removes WORK. If the script failed,
# copies WORK to out/failed first.
clean_up() {
  local status=$?
  stop_all
  if [ "$status" -ne 0 ]; then
    local copy
    mkdir -p out/failed
    copy=$(mktemp -d "out/failed/$(basename "$0")-XXXXXX")
    cp -r "$WORK/." "$copy"
    echo "logs: $copy"
  fi
  rm -rf "$WORK"
}

# Prints the settings file of an entry or agent.
print_settings() { # role node data_centre http_port internal_port
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
  print_settings entry "entry-$1" "$2" $((BASE_PORT + 100 + $1)) $((BASE_PORT + 200 + $1)) >"$WORK/entry-$1.json"
  # shellcheck disable=SC2086 # ENTRY_WRAP holds a command and its arguments
  start "entry-$1" ${ENTRY_WRAP:-} "$BUILD/daemon/jacinthpickd" "$WORK/entry-$1.json"
}

start_agent() { # number data_centre
  print_settings agent "agent-$1" "$2" $((BASE_PORT + 300 + $1)) $((BASE_PORT + 400 + $1)) >"$WORK/agent-$1.json"
  start "agent-$1" "$BUILD/daemon/jacinthpickd" "$WORK/agent-$1.json"
}

start_upstream() { # number options...
  local n=$1
  shift
  start "upstream-$n" "$BUILD/standins/standin-upstream" --listen "127.0.0.1:$((BASE_PORT + 500 + n))" \
    --agent "127.0.0.1:$((BASE_PORT + 300 + n))" --journal "$WORK/journal-$n" "$@"
}

# Runs the command line client against an entry.
jp() { # entry_number arguments...
  local n=$1
  shift
  "$BUILD/cli/jacinthpick" --entry "$(entry_addr "$n")" "$@"
}

# Runs it with the token of operator "erika" and JSON output.
admin() { # entry_number arguments...
  local n=$1
  shift
  "$BUILD/cli/jacinthpick" --entry "$(entry_addr "$n")" --token "$OPERATOR_TOKEN" --json "$@"
}

# Repeats the command until it succeeds; fails after the given time.
wait_for() { # seconds command...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.1
  done
}

# Prints a job whose tasks run for run_ms each.
print_job() { # tasks run_ms service deadline_ms
  python3 - "$@" <<'PY'
import json, sys
n, ms, service, deadline = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3], int(sys.argv[4])
print(json.dumps({"service": service, "kind": "buff-plan", "deadline_ms": deadline,
    "tasks": [{"no": i + 1, "input": json.dumps({"ms": ms, "n": i + 1})} for i in range(n)]}))
PY
}

# Task starts of a job in the journals of all upstreams, and how many of them
# repeat an earlier start of the same task.
count_starts() { # key
  cat "$WORK"/journal-* 2>/dev/null | awk -v k="$1" '$1 == "start" && $2 == k' | wc -l
}
count_repeats() { # key
  cat "$WORK"/journal-* 2>/dev/null | awk -v k="$1" '$1 == "start" && $2 == k {n[$3]++} END {for (t in n) if (n[t] > 1) r += n[t] - 1; print r + 0}'
}

# Starts a relay in front of a process's internal address. List the process in
# RELAYED (for example "entry-1 agent-2") and start the relay first: the settings
# then make other processes connect through it.
start_relay() { # entry|agent number
  local base=200
  [ "$1" = agent ] && base=400
  local port=$((BASE_PORT + base + $2))
  start "relay-$1-$2" "$BUILD/standins/standin-relay" --listen "127.0.0.1:$((port + 400))" \
    --to "127.0.0.1:$port" --control "127.0.0.1:$((port + 410))"
}

set_relay_faults() { # entry|agent number faults_json
  local base=200
  [ "$1" = agent ] && base=400
  curl -s -d "$3" "127.0.0.1:$((BASE_PORT + base + $2 + 410))/faults" >/dev/null
}
