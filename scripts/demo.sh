#!/usr/bin/env bash
# Runs both deployments of samples/ in turn: the stand-ins and six entry VMs as
# processes, with flows and requests, while a backend server drains, an entry
# VM is killed and started again, and a data centre leaves and returns.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=${BIN:-target/debug}
readonly VM=$BIN/dragonflytrack
readonly EMULATOR=$BIN/dragonflytrack-emulator
readonly CALLERS_MS=15000
readonly START_LIMIT_S=15

dir=$(mktemp -d)
declare -A pids=()

# Ends every child by its own process number.
finish() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap finish EXIT
trap 'exit 130' INT TERM

say() {
    printf '%5.1f s  %s\n' "$(elapsed)" "$*"
}

elapsed() {
    local now=${EPOCHREALTIME/[.,]/}
    printf '%d.%d' $(((now - started) / 1000000)) $(((now - started) / 100000 % 10))
}

# start NAME COMMAND...: starts a child, whose output goes to NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$dir/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop NAME: kills a child.
stop() {
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

fail() {
    echo "demo: $*" >&2
    tail -n 5 "$dir"/*.log >&2
    exit 1
}

# answers IP PORT PATH: tells whether a GET is answered with 200.
answers() {
    local line=
    { exec 3<>"/dev/tcp/$1/$2"; } 2>/dev/null || return 1
    printf 'GET %s HTTP/1.0\r\n\r\n' "$3" >&3
    read -r line <&3 || true
    exec 3>&-
    [[ $line == *" 200 "* ]]
}

# await WHAT COMMAND...: waits until a command succeeds.
await() {
    local what=$1 limit=$((SECONDS + START_LIMIT_S))
    shift
    until "$@"; do
        ((SECONDS < limit)) || fail "$what: not within $START_LIMIT_S s"
        sleep 0.1
    done
}

# list_vms [EXCEPT]: tells the fabric which entry VMs are live.
list_vms() {
    local name
    for name in "${vms[@]}"; do
        [[ $name == "${1:-}" ]] || echo "${ip[$name]}:6080"
    done >"$dir/list.new"
    mv "$dir/list.new" "$dir/list"
}

start_vm() {
    start "$1" "$VM" run --settings "$dir/$1.ini"
}

await_vm() {
    await "entry VM $1" answers "${ip[$1]}" 9100 /readyz
}

configure() {
    "$EMULATOR" configure --platform "$net.0.1:8090" --first "$dir/configuration.json" \
        >>"$dir/configure.log" 2>&1
}

# operate INTENT NAME: plans a change and confirms the plan.
operate() {
    local plan
    "$VM" plan "$@" "${admins[@]}" >"$dir/plan.log" 2>&1 || fail "no plan for $*"
    plan=$(sed -n 's/^plan \([^:]*\):.*/\1/p' "$dir/plan.log")
    "$VM" confirm "$plan" "${admins[@]}" >"$dir/confirm.log" 2>&1 || fail "no confirmation of $*"
}

start_system() {
    start platform "$EMULATOR" platform --listen "$net.0.1:8090"
    start backends "$EMULATOR" backends --configuration "$dir/configuration.json" \
        --control "$net.0.3:8091" --run-time 20
    start fabric "$EMULATOR" fabric --listen "$net.0.2:6080" \
        --replies "$net.0.2:6082" --list "$dir/list"
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
        --configuration "$dir/configuration.json" --platform "$net.0.1:8090" \
        --records "$net.0.3:8091" --flows 60 --rate 30 --duration "$CALLERS_MS" \
        --summary "$dir/$deployment.json" "${args[@]}"
}

# run_deployment DEPLOYMENT BACKEND DATA-CENTRE VM
run_deployment() {
    deployment=$1
    local backend=$2 data_centre=$3 victim=$4 sample
    # A loopback network of the run's own keeps two demos apart.
    net=127.$((RANDOM % 120 + 130))
    vms=()
    admins=()
    declare -gA ip=()
    for sample in samples/"$deployment"/*; do
        sed -E "s/127\.[0-9]+\./$net./g" "$sample" >"$dir/${sample##*/}"
    done
    for sample in "$dir"/*.ini; do
        name=$(basename "$sample" .ini)
        vms+=("$name")
        ip[$name]=$(sed -n 's/^admin = \(.*\):.*/\1/p' "$sample")
        admins+=(--admin "${ip[$name]}:9100")
    done
    list_vms

    start_system
    say "$deployment: ${#vms[@]} entry VMs are ready"
    start_callers
    sleep 2
    operate drain "$backend"
    say "$deployment: $backend drains"
    sleep 2
    stop "$victim"
    say "$deployment: entry VM $victim is killed"
    sleep 0.5
    list_vms "$victim"
    sleep 1.5
    start_vm "$victim"
    await_vm "$victim"
    list_vms
    say "$deployment: entry VM $victim is back"
    sleep 2
    operate out "$data_centre"
    say "$deployment: data centre $data_centre is out"
    sleep 3
    operate return "$data_centre"
    say "$deployment: data centre $data_centre returns"
    wait "${pids[callers]}" || true
    unset "pids[callers]"
    [[ -s $dir/$deployment.json ]] || fail "the callers left no summary"
    say "$deployment: done"
    for name in "${!pids[@]}"; do
        stop "$name"
    done
    rm -f "$dir"/*.ini
}

started=${EPOCHREALTIME/[.,]/}
run_deployment cymru bench-diary-03 abertawe caerdydd-1
run_deployment hu-central fitting-svc-04 bud-b bud-a-1
"$EMULATOR" summarize "$dir/cymru.json" "$dir/hu-central.json"
