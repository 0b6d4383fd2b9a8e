#!/usr/bin/env bash
# The whole path in separate processes: stand-ins for two unlike engines, a plain service and the platform; two nodes in different failure
# domains; a streamed question, a long letter, a call that must run once, and a change of the operators' table. With --keep the processes
# go on until Enter is pressed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${JOBS:-$(nproc)}" --target guavapondd guavapond standin-engine standin-service standin-platform >/dev/null

work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

# Starts a program and waits for its first line, which names its port.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 100); do
        if grep -q '"port"' "$work/$name.out" 2>/dev/null; then return; fi
        sleep 0.1
    done
    echo "$name did not start:" >&2
    cat "$work/$name.log" >&2
    exit 1
}
portOf() { grep -m1 '"port"' "$work/$1.out" | jq -r .port; }
waitFor() { # waitFor TEXT COMMAND...
    local expected=$1
    shift
    for _ in $(seq 100); do
        if "$@" 2>/dev/null | grep -q "$expected"; then return; fi
        sleep 0.1
    done
    echo "no '$expected' from: $*" >&2
    exit 1
}

start platform build/standin-platform --port 0
start fast build/standin-engine --port 0 --model drafts --version v1 --prefill-rate 20000 --decode-rate 200
start slow build/standin-engine --port 0 --model drafts --version v1 --prefill-rate 4000 --decode-rate 50
start register build/standin-service --port 0 --service register
platform=http://127.0.0.1:$(portOf platform)

mkdir "$work/table"
tierColumns() { for tier in urgent standard batch; do printf ',%s.weight,%s.engineSecondsPerSecond,%s.burstEngineSeconds,%s.running,%s.queued,%s.reservedEngineSeconds' $tier $tier $tier $tier $tier $tier; done; }
{
    echo "name,token$(tierColumns)"
    echo "inspectors,,4,0,60,0,0,0,2,0,60,0,0,0,1,0,60,0,0,0"
    echo "assessors,,1,0,60,0,0,0,1,0,60,0,0,0,1,0,60,0,0,0"
} >"$work/table/workspaces.csv"
{
    echo "name,kind,address,failureDomain,model,version,state,checksFencing,resumes,maxRunning"
    echo "runner-1,engine,http://127.0.0.1:$(portOf fast),lalitpur,drafts,v1,active,false,true,64"
    echo "runner-2,engine,http://127.0.0.1:$(portOf slow),bhaktapur,drafts,v1,active,false,true,64"
    echo "register-1,service,http://127.0.0.1:$(portOf register),lalitpur,register,v1,active,false,false,64"
} >"$work/table/targets.csv"
echo "== the operators' table"
build/guavapond --platform "$platform" table import "$work/table" --reason "first table"

freePort() { python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'; }
peer1=$(freePort)
peer2=$(freePort)
settings() { # name failure-domain own-peer-port other-name other-domain other-peer-port
    cat <<TOML
[node]
name = "$1"
failureDomain = "$2"
[callers]
port = 0
[nodes]
port = $3
[platform]
urls = ["$platform"]
[[peers]]
name = "$4"
address = "127.0.0.1:$6"
failureDomain = "$5"
TOML
}
settings lalitpur-1 lalitpur "$peer1" bhaktapur-1 bhaktapur "$peer2" >"$work/node1.toml"
settings bhaktapur-1 bhaktapur "$peer2" lalitpur-1 lalitpur "$peer1" >"$work/node2.toml"
start node1 build/guavapondd --settings "$work/node1.toml"
start node2 build/guavapondd --settings "$work/node2.toml"
node1=http://127.0.0.1:$(portOf node1)
node2=http://127.0.0.1:$(portOf node2)
waitFor ready curl -s "$node1/readyz"
waitFor ready curl -s "$node2/readyz"
echo "two nodes are ready: $node1 $node2, platform $platform"

echo "== a short question, streamed"
curl -sN "$node1/v1/chat/completions" -H 'Guavapond-Workspace: inspectors' -H 'Guavapond-Tier: urgent' \
    -d '{"model":"drafts","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Which paint holds two hours?"}]}' >"$work/question.txt"
tail -n 4 "$work/question.txt"
grep -q 'data: \[DONE\]' "$work/question.txt"

echo "== a long letter"
letter=$(printf 'The armour of the paladin is to be %s. ' $(seq 2000))
jq -n --arg letter "$letter" '{model: "drafts", max_tokens: 20, messages: [{role: "user", content: $letter}]}' |
    curl -s "$node2/v1/chat/completions" -H 'Guavapond-Workspace: assessors' -H 'Guavapond-Tier: batch' -d @- >"$work/letter.json"
jq -ce '.usage | select(.completion_tokens == 20)' "$work/letter.json"

echo "== a call that must run once: refused without a ticket, then sent twice under one, to different nodes"
call() { curl -s -X POST "$1/v1/services/register/certificates" -H 'Guavapond-Workspace: assessors' "${@:2}" -d '{"paint":"A1"}'; }
call "$node1" | jq -ce '.error | select(.type == "ticket_required") | .type'
ticket=$(curl -s -X POST "$node1/v1/tickets" -H 'Guavapond-Workspace: assessors' | jq -r .ticket)
call "$node1" -H "Guavapond-Ticket: $ticket"; echo
call "$node2" -H "Guavapond-Ticket: $ticket"; echo
runs=$(curl -s "http://127.0.0.1:$(portOf register)/log" | grep -c "$ticket")
echo "runs at the service: $runs"
[ "$runs" = 1 ]

echo "== a change of one cell, in force on both nodes"
build/guavapond --platform "$platform" table set workspaces/assessors/batch.weight=3 --reason "end of quarter"
revision=$(curl -s "$platform/v1/kv/guavapond/table/head" | jq -r '.value | fromjson | .revision')
waitFor "guavapond_table_revision $revision" curl -s "$node1/metrics"
waitFor "guavapond_table_revision $revision" curl -s "$node2/metrics"
echo "revision $revision is in force on both nodes"

if [ "${1:-}" = --keep ]; then
    echo "PORT=${node1##*:} PLATFORM=$platform; press Enter to stop"
    read -r _
fi
echo "== a planned stop"
for name in node2 node1; do
    pid=${pids[-1]}
    unset 'pids[-1]'
    kill -TERM "$pid"
    wait "$pid" && echo "$name ended with status 0"
done
echo "demo passed"
