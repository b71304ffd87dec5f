# Functions that start and stop a small cell on loopback; to be sourced by the scripts here and in
# bench/. DRAGONFLYGAP_DEMO_PORT is the first of its ports, DRAGONFLYGAP_BUILD the build folder.

bin=${DRAGONFLYGAP_BUILD:-$PWD/build}
base=${DRAGONFLYGAP_DEMO_PORT:-7000}
work=$(mktemp -d)
declare -A pid_of
centres=(norte-a norte-b norte-c)

stop_cell() {
    for name in "${!pid_of[@]}"; do
        kill -CONT "${pid_of[$name]}" 2>/dev/null || true
        kill -TERM "${pid_of[$name]}" 2>/dev/null || true
    done
    for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null || true; done
    rm -rf "$work"
}

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# Addresses of entry VM I, counted from 1.
caller_address() { echo "127.0.0.1:$((base + 10 * $1))"; }
operator_address() { echo "127.0.0.1:$((base + 10 * $1 + 1))"; }
peer_address() { echo "127.0.0.1:$((base + 10 * $1 + 2))"; }
centre_of() { echo "${centres[$((($1 - 1) % ${#centres[@]}))]}"; }

start_emulator() { # WORKERS [OPTIONS...]
    local workers=$1
    shift
    start_process emulator "$bin/dragonflygap-emulator" --platform "127.0.0.1:$base" \
        --first-worker-port $((base + 500)) --workers "$workers" \
        --data-centres "$(IFS=,; echo "${centres[*]}")" "$@"
}

write_settings() { # I COUNT [MORE SETTINGS, each ending in a comma]
    local i=$1 count=$2 more=${3:-} peers="" j
    for j in $(seq "$count"); do
        [ "$i" = "$j" ] && continue
        peers="$peers{\"vm\": \"entry-$j\", \"data_centre\": \"$(centre_of "$j")\", \"address\": \"$(peer_address "$j")\"},"
    done
    cat >"$work/entry-$i.json" <<JSON
{$more "vm": "entry-$i", "data_centre": "$(centre_of "$i")", "caller_listen": "$(caller_address "$i")",
 "operator_listen": "$(operator_address "$i")", "peer_listen": "$(peer_address "$i")",
 "peers": [${peers%,}], "platform": {"address": "127.0.0.1:$base"}}
JSON
}

start_entry() { # I
    start_process "entry-$1" "$bin/dragonflygapd" --settings "$work/entry-$1.json"
}

start_entries() { # COUNT [MORE SETTINGS]
    local i
    for i in $(seq "$1"); do
        write_settings "$i" "$1" "${2:-}"
        start_entry "$i"
    done
    for i in $(seq "$1"); do wait_ready "$i"; done
}

wait_ready() { # I
    local attempt
    for attempt in $(seq 100); do
        curl -sf "$(operator_address "$1")/readyz" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "entry-$1 is not ready after 10 s" >&2
    return 1
}

ctl() { # I COMMAND...
    local i=$1
    shift
    "$bin/dragonflygap" --server "$(operator_address "$i")" "$@"
}
