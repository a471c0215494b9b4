#!/usr/bin/env bash
# A service with sync_replicas 1: commits are acknowledged while one replica receives nothing. The primary and
# the other replica crash, and all processes of the system are killed and start again, within 8.4 s. Exits with
# 1 if a member is promoted whose log lacks acknowledged commits, 0 if none is, 2 if the case could not run.
# TROUBLE=0 leaves out the crashes, the kills and the silence of the replica.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
entry=$root/target/release/corianderwharf-entry
platform=$root/target/release/corianderwharf-lines-standin
trouble=${TROUBLE:-1}
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

"$platform" --groups 1 --sync-replicas 1 > "$dir/platform.log" 2>&1 &
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

# Sends one statement to a machine and prints the answer: statement NUMBER TEXT. The last line is COMPLETE or
# ERROR, before it the rows.
statement() {
    local ip=$net.$1 line answer
    answer=$(
        exec 3<> "/dev/tcp/$ip/$port" || exit
        printf 'STARTUP orders0 reviewer\r\n' >&3
        read -r -t 2 line <&3 || exit
        [ "${line:0:5}" = READY ] || { echo "$line"; exit; }
        printf 'QUERY %08x%08x %s\r\n' $RANDOM$RANDOM $RANDOM "$2" >&3
        while read -r -t 3 line <&3; do
            case $line in
                ROW*) echo -n "${line%$'\r'} " ;;
                COMPLETE* | ERROR*) echo "$line"; exit ;;
            esac
        done
    )
    answer=${answer%$'\r'}
    log "machine $1: $2 -> ${answer:-no answer}"
    echo "$answer"
}

# Makes a request to the stand-in's control interface and prints its answer: control METHOD PATH [BODY].
control() {
    local body=${3:-}
    (
        exec 3<> "/dev/tcp/${store%:*}/${store#*:}" || exit
        printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
            "$1" "$2" "$store" "${#body}" "$body" >&3
        cat <&3
    )
}
steer() {
    log "stand-in: $1"
    control POST /standin/steer "$1" | grep -q '^HTTP/1.1 200' || cannot_run "the stand-in refuses an order"
}

for zone in a b c d; do add "$zone"; done
ready=no
for _ in $(seq 100); do
    case $(statement 1 'STORE start x') in COMPLETE*) ready=yes; break ;; esac
    sleep 0.2
done
[ $ready = yes ] || cannot_run "the deployment does not serve"
sleep 3

# The primary is m1, the replicas are m2 and m3.
members=$(control GET /standin/members)
log "members: $(tail -1 <<< "$members")"
[ "$trouble" != 0 ] && steer '{"deaf":["group0-m2",true]}'
acknowledged=()
for number in 1 2 3 4 5 6 7 8 9 10; do
    case $(statement $((number % 4 + 1)) "STORE order$number value$number") in
        COMPLETE*) acknowledged+=("$number") ;;
    esac
done
[ ${#acknowledged[@]} -ge 5 ] || cannot_run "too little is acknowledged"
log "acknowledged: ${acknowledged[*]}"

if [ "$trouble" != 0 ]; then
    steer '{"crash":"group0-m1"}'
    steer '{"crash":"group0-m3"}'
    # The entries of both have lapsed by then: three intervals of 1.2 s.
    sleep 3.7
    # There is nobody from whom m2 could receive now. The stand-in would pass on the log of a member that is down,
    # so m2 stays cut off until the members are back.
    log "all processes are killed"
    for number in "${alive[@]}"; do kill -KILL "${pid_of[$number]}"; done
    for number in "${alive[@]}"; do wait "${pid_of[$number]}"; done
    sleep 0.2
    for number in "${alive[@]}"; do start "$number"; done
    log "the processes start again"
    sleep 4.5
    steer '{"restart":"group0-m1"}'
    steer '{"restart":"group0-m3"}'
    steer '{"deaf":["group0-m2",false]}'
fi
sleep 15

log "primaries: $(control GET /standin/primaries | tail -1)"
log "commits of the present primary: $(control GET /standin/commits | tail -1)"
grep -h '"kind":"promotion"' "$dir"/node-*.log >> "$record"
lost=0
for number in "${acknowledged[@]}"; do
    for _ in 1 2 3; do
        answer=$(statement 1 "FETCH order$number")
        case $answer in *COMPLETE*) break ;; esac
        sleep 1
    done
    case $answer in
        "ROW value$number COMPLETE"*) ;;
        *COMPLETE*) lost=$((lost + 1)) ;;
        *) cannot_run "a read is not served in the end" ;;
    esac
done
promoted=$(grep -h '"kind":"promotion"' "$dir"/node-*.log | grep -c Accepted)
log "$lost of ${#acknowledged[@]} acknowledged commits are gone; promotions: $promoted"
echo "$lost of ${#acknowledged[@]} acknowledged commits are gone; promotions: $promoted"
[ "$lost" -gt 0 ] && finish 1
finish 0
