#!/usr/bin/env bash
# Runs both deployments of samples/ in turn: the emulator and six entry VMs as
# processes. Under load by flows and requests, it drains a backend server, kills
# and restarts an entry VM, and takes a data centre out of service and back.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=${BIN:-target/debug}
readonly VM=$BIN/dragonflytrack
readonly EMULATOR=$BIN/dragonflytrack-emulator
readonly CALLERS_DURATION_MS=15000
readonly START_TIMEOUT_S=15

work_dir=$(mktemp -d)
declare -A pids=()

# Kills each child by its own process ID and removes the work directory.
finish() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}
trap finish EXIT
trap 'exit 130' INT TERM

log() {
    printf '%5.1f s  %s\n' "$(elapsed)" "$*"
}

elapsed() {
    local now=${EPOCHREALTIME/[.,]/}
    printf '%d.%d' $(((now - started) / 1000000)) $(((now - started) / 100000 % 10))
}

# start NAME COMMAND...: starts a child process that logs to NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$work_dir/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop NAME: kills the child process NAME and waits for it.
stop() {
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

fail() {
    echo "demo: $*" >&2
    tail -n 5 "$work_dir"/*.log >&2
    exit 1
}

# answers IP PORT PATH: succeeds if a GET request returns status 200.
answers() {
    local line=
    { exec 3<>"/dev/tcp/$1/$2"; } 2>/dev/null || return 1
    printf 'GET %s HTTP/1.0\r\n\r\n' "$3" >&3
    read -r line <&3 || true
    exec 3>&-
    [[ $line == *" 200 "* ]]
}

# await WHAT COMMAND...: retries COMMAND until it succeeds, or fails after
# START_TIMEOUT_S.
await() {
    local what=$1 limit=$((SECONDS + START_TIMEOUT_S))
    shift
    until "$@"; do
        ((SECONDS < limit)) || fail "$what: not within $START_TIMEOUT_S s"
        sleep 0.1
    done
}

# list_vms [EXCEPT]: writes the list of live entry VMs that the fabric reads.
list_vms() {
    local name
    for name in "${vms[@]}"; do
        [[ $name == "${1:-}" ]] || echo "${ip[$name]}:6080"
    done >"$work_dir/list.new"
    mv "$work_dir/list.new" "$work_dir/list"
}

start_vm() {
    start "$1" "$VM" run --settings "$work_dir/$1.ini"
}

await_vm() {
    await "entry VM $1" answers "${ip[$1]}" 9100 /readyz
}

configure() {
    "$EMULATOR" configure --platform "$net.0.1:8090" --first "$work_dir/configuration.json" \
        >>"$work_dir/configure.log" 2>&1
}

# operate INTENT NAME: creates a plan for a change and confirms it.
operate() {
    local plan
    "$VM" plan "$@" "${admins[@]}" >"$work_dir/plan.log" 2>&1 || fail "no plan for $*"
    plan=$(sed -n 's/^plan \([^:]*\):.*/\1/p' "$work_dir/plan.log")
    "$VM" confirm "$plan" "${admins[@]}" >"$work_dir/confirm.log" 2>&1 || fail "no confirmation of $*"
}

start_system() {
    start platform "$EMULATOR" platform --listen "$net.0.1:8090"
    start backends "$EMULATOR" backends --configuration "$work_dir/configuration.json" \
        --control "$net.0.3:8091" --run-time 20
    start fabric "$EMULATOR" fabric --listen "$net.0.2:6080" \
        --replies "$net.0.2:6082" --list "$work_dir/list"
    await platform configure
    for name in "${vms[@]}"; do
        start_vm "$name"
    done
    for name in "${vms[@]}"; do
        await_vm "$name"
    done
}

start_callers() {
    local name args=()
    for name in "${vms[@]}"; do
        args+=(--vm "${ip[$name]}:8080")
    done
    start callers "$EMULATOR" callers --fabric "$net.0.2:6080" \
        --configuration "$work_dir/configuration.json" --platform "$net.0.1:8090" \
        --records "$net.0.3:8091" --flows 60 --rate 30 --duration "$CALLERS_DURATION_MS" \
        --summary "$work_dir/$deployment.json" "${args[@]}"
}

# run_deployment DEPLOYMENT BACKEND DATA-CENTRE VM
run_deployment() {
    deployment=$1
    local backend=$2 data_centre=$3 killed_vm=$4 sample
    # A random loopback network lets two demos run at the same time.
    net=127.$((RANDOM % 120 + 130))
    vms=()
    admins=()
    declare -gA ip=()
    for sample in samples/"$deployment"/*; do
        sed -E "s/127\.[0-9]+\./$net./g" "$sample" >"$work_dir/${sample##*/}"
    done
    for sample in "$work_dir"/*.ini; do
        name=$(basename "$sample" .ini)
        vms+=("$name")
        ip[$name]=$(sed -n 's/^admin = \(.*\):.*/\1/p' "$sample")
        admins+=(--admin "${ip[$name]}:9100")
    done
    list_vms

    start_system
    log "$deployment: ${#vms[@]} entry VMs are ready"
    start_callers
    sleep 2
    operate drain "$backend"
    log "$deployment: $backend drains"
    sleep 2
    stop "$killed_vm"
    log "$deployment: entry VM $killed_vm is killed"
    sleep 0.5
    list_vms "$killed_vm"
    sleep 1.5
    start_vm "$killed_vm"
    await_vm "$killed_vm"
    list_vms
    log "$deployment: entry VM $killed_vm is back"
    sleep 2
    operate out "$data_centre"
    log "$deployment: data centre $data_centre is out"
    sleep 3
    operate return "$data_centre"
    log "$deployment: data centre $data_centre returns"
    wait "${pids[callers]}" || true
    unset "pids[callers]"
    [[ -s $work_dir/$deployment.json ]] || fail "the callers left no summary"
    log "$deployment: done"
    for name in "${!pids[@]}"; do
        stop "$name"
    done
    rm -f "$work_dir"/*.ini
}

started=${EPOCHREALTIME/[.,]/}
run_deployment cymru bench-diary-03 abertawe caerdydd-1
run_deployment hu-central fitting-svc-04 bud-b bud-a-1
"$EMULATOR" summarize "$work_dir/cymru.json" "$work_dir/hu-central.json"
