# Shared by the scripts of the cases 11 to 15. Sourced with `folder` set to the case's folder.
# Starts the programs of the deploy file, with its commands, on loopback.

root=$(cd "$folder/../.." && pwd)
tools=$root/target/review-3
snipespar=$root/target/snipespar
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
[ -z "${KEEP_WORK:-}" ] || echo "$work"
record=$folder/record.txt
: > "$record"
pids=()

note() {
    echo "$*" | tee -a "$record"
}

# Ends all processes that the script has started, stopped ones too.
end_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    [ -n "${KEEP_WORK:-}" ] || rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
    note "could not run: $*"
    exit 2
}

# A port that nobody listens at, on any loopback address: random and checked.
free_port() {
    local port
    while true; do
        port=$((20000 + RANDOM % 12000))
        if ! grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/udp; then
            echo "$port"
            return
        fi
    done
}

# start LOG COMMAND...: runs it in the background; its id is left in `started`.
start() {
    local log=$work/$1
    shift
    "$@" >> "$log" 2>&1 &
    started=$!
    pids+=("$started")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local until=$(($(date +%s%N) + $1 * 1000000000))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$(date +%s%N)" -lt "$until" ] || return 1
        sleep 0.02
    done
}

start_store() {
    store=127.0.0.1:$(free_port)
    start store.log "$root/target/users_platform_stand_in" store "$store"
    wait_for 5 grep -q listening "$work/store.log" || cannot_run "the store does not listen"
}

# put METHOD TARGET BODY: a write to the store.
put() {
    "$tools/client" put "$store" "$1" "$2" "$3" > /dev/null || cannot_run "the store refused $2"
}

control_port=$(free_port)

# start_gateway NAME IP: the deploy file's command with the figures of krlp-ops.
# Leaves its address in `gateway` and its readiness address in `gateway_admin`.
start_gateway() {
    gateway=$2:$(free_port)
    gateway_admin=$2:$(free_port)
    start "$1.log" "$snipespar" gateway --listen="$gateway" --admin-listen="$gateway_admin" \
        --control-listen="$2:$control_port" --platform="$store" --host="$1" --failure-domain=a \
        --store-recovery-bound=3000ms --version-bound=5000ms --leave-bound=2000ms \
        --stop-grace=8s --memory-limit=260MiB --max-descriptors=4100 --evacuation-bound=ms \
        --retry-ratio=0.2 --retry-slack=58
    wait_for 10 "$tools/client" put "$gateway_admin" GET /ready "" || cannot_run "$1 is not ready"
}

# start_sidecar NAME IP ENGINE: the deploy file's command.
start_sidecar() {
    start "$1.log" "$snipespar" sidecar --control-listen="$2:$control_port" \
        --admin-listen="$2:$(free_port)" --engine="$3" --host="$1" --placement=work \
        --retention=demand
}
