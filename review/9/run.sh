#!/usr/bin/env bash
# Replaces eight machines of a small deployment, one after the other, then kills all processes and starts
# them again. Exits with 1 if less than a quarter of the requests is served later than recovery_s after that,
# although a quarter or more was served before; 0 if it held; 2 if the case could not run. TROUBLE=0 leaves
# out the replacements.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
entry=$root/target/release/corianderwharf-entry
platform=$root/target/release/corianderwharf-lines-standin
trouble=${TROUBLE:-1}
recovery_s=12
dir=$(mktemp -d)
record=$here/record.txt
: > "$record"
platform_pid=
declare -A zone_of pid_of
alive=()
next=1
# The shell reports each process that was killed.
exec 2> "$dir/shell.log"

log() { printf '%s %s\n' "$(date +%T.%3N)" "$*" >> "$record"; }
finish() {
    for number in "${alive[@]}"; do kill -KILL "${pid_of[$number]}"; done
    [ -n "$platform_pid" ] && kill -KILL "$platform_pid"
    wait
    cd / && rm -rf "$dir"
    exit "$1"
}
cannot_run() { log "cannot run: $1"; echo "cannot run: $1"; finish 2; }
trap 'finish 2' INT TERM

[ -x "$entry" ] && [ -x "$platform" ] || cannot_run "the programs are not built"

# A loopback network of its own and a free port.
net=127.$((RANDOM % 90 + 100)).$((RANDOM % 250 + 1))
port=$((RANDOM % 10000 + 20000))
if (exec 9<> "/dev/tcp/$net.1/$port") 2> /dev/null; then cannot_run "the port is in use"; fi

"$platform" --groups 1 > "$dir/platform.log" 2>&1 &
platform_pid=$!
for _ in $(seq 50); do
    store=$(grep -oE '127\.[0-9.]+:[0-9]+' "$dir/platform.log" | head -1)
    [ -n "$store" ] && break
    sleep 0.1
done
[ -n "${store:-}" ] || cannot_run "the stand-in of the platform does not start"
log "platform at $store"

# Starts the process of a machine: start NUMBER.
start() {
    local number=$1 ip=$net.$1
    cat > "$dir/node-$number.toml" << EOF
node_name = "edge-${zone_of[$number]}-$number"
zone = "${zone_of[$number]}"
region = "r"
ip = "$ip"
port_range = [$((port + 10)), $((port + 25))]
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
d = "r"
[listen]
frontend = "$ip:$port"
readiness = "$ip:$((port + 1))"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4300
[bounds]
grace_s = 6
[platform]
addr = "$store"
[cloud_api]
addr = "$store"
EOF
    CORIANDERWHARF_NODE_FILE="$dir/node-$number.toml" "$entry" >> "$dir/node-$number.log" 2>&1 &
    pid_of[$number]=$!
}

# Adds a machine with a new name and a new address in a zone.
add() {
    zone_of[$next]=$1
    alive+=("$next")
    start "$next"
    log "machine $next in zone $1 starts at $net.$next"
    next=$((next + 1))
}

# Removes a machine for good.
remove() {
    local kept=() number
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}"
    for number in "${alive[@]}"; do [ "$number" != "$1" ] && kept+=("$number"); done
    alive=("${kept[@]}")
    log "machine $1 is gone for good"
}

# Sends one request to a machine; succeeds if it is answered with success within two seconds.
request() {
    local ip=$net.$1 line answer=none
    # A subshell, so that a refused connection does not end the script.
    answer=$(
        exec 3<> "/dev/tcp/$ip/$port" || exit
        printf 'STARTUP orders0 reviewer\r\n' >&3
        read -r -t 2 line <&3 || exit
        [ "${line:0:5}" = READY ] || { echo "$line"; exit; }
        printf 'QUERY %s FETCH a1\r\n' "$(printf '%08x%08x' $RANDOM$RANDOM $RANDOM)" >&3
        while read -r -t 2 line <&3; do
            case $line in COMPLETE* | ERROR*) echo "$line"; exit ;; esac
        done
    ) 2> /dev/null
    answer=${answer%$'\r'}
    log "request to machine $1: ${answer:-no answer}"
    [ "${answer:0:8}" = COMPLETE ]
}

# Sends requests to the machines in turn; prints how many of how many were served.
measure() {
    local served=0 sent=0 number
    for _ in 1 2 3 4; do
        for number in "${alive[@]}"; do
            sent=$((sent + 1))
            request "$number" && served=$((served + 1))
        done
    done
    echo "$served $sent"
}

for zone in a a b b c d; do add "$zone"; done
ready=no
for _ in $(seq 100); do
    if request 1 && request 6; then ready=yes; break; fi
    sleep 0.2
done
[ $ready = yes ] || cannot_run "the deployment does not serve"
sleep 2

read -r served sent <<< "$(measure)"
log "before: $served of $sent served"
[ $((served * 4)) -ge "$sent" ] || cannot_run "too little is served before the disruption"

if [ "$trouble" != 0 ]; then
    # The six first machines, then those that have come in zones with a single machine.
    for number in 1 2 3 4 5 6 11 12; do
        remove "$number"
        sleep 0.3
        add "${zone_of[$number]}"
        sleep 0.9
    done
fi

log "final fault: all processes are killed"
for number in "${alive[@]}"; do kill -KILL "${pid_of[$number]}"; done
for number in "${alive[@]}"; do wait "${pid_of[$number]}"; done
sleep 1
for number in "${alive[@]}"; do start "$number"; done
log "the machines are back"
sleep "$recovery_s"
sleep 1

read -r served sent <<< "$(measure)"
log "later than $recovery_s s after the machines were back: $served of $sent served"
echo "later than $recovery_s s after the machines were back: $served of $sent served"
[ $((served * 4)) -lt "$sent" ] && finish 1
finish 0
