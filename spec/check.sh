#!/usr/bin/env bash
# Checks the specifications with spin: each must hold, and each must reject its seeded faults (M_...), so that a check that can't fail is
# noticed. Prints the number of states of each run. About 2 minutes and below 4 GB with the 3 jobs that run by default (JOBS).
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD
export spec
work=$(mktemp -d)
export work
trap 'rm -rf "$work"' EXIT

memoryLimit=2000 # MB per verifier; the largest run takes 1.2 GB
maxDepth=10000 # steps; the deepest run takes about 110
export memoryLimit maxDepth

# check EXPECTED NAME FILE [-D...]: EXPECTED is "holds" or "rejected".
check() {
    local expected=$1 name=$2 file=$3 verdict=incomplete states
    shift 3
    mkdir -p "$work/$name"
    cd "$work/$name"
    spin -a "$@" "$spec/$file" >spin.log 2>&1 || { cat spin.log; return 1; }
    # Exact search: hash compaction (HC) was seen to lose 12 % of the states of adoption.pml.
    gcc -O2 -w -DSAFETY -DNOREDUCE -DVECTORSZ=512 -DMEMLIM="$memoryLimit" -o pan pan.c
    ./pan -m"$maxDepth" -w24 >pan.log 2>&1 || true
    if grep -q "assertion violated" pan.log; then
        verdict=rejected
    elif grep -q "errors: 0" pan.log && ! grep -qE "Search not completed|depth too small" pan.log; then
        verdict=holds
    fi
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    printf '%-45s %-10s %12s states\n' "$name" "$verdict" "${states:-?}"
    if [ "$verdict" != "$expected" ]; then
        echo "FAILED: $name: expected $expected"
        tail -n 20 pan.log
        return 1
    fi
    rm -f pan
}
export -f check

# One line per run, the longest first.
runs() {
    echo "holds tickets_two tickets.pml -DTICKETS=2 -DFORGETS=0"
    echo "holds tickets_one tickets.pml -DTICKETS=1 -DFORGETS=1"
    echo "holds adoption adoption.pml"
    echo "holds edge_request_once edge_request.pml"
    echo "holds edge_request_repeatable edge_request.pml -DREPEATABLE=1"
    echo "holds edge_keys edge_keys.pml"
    echo "holds edge_keys_same_clock edge_keys.pml -DSKEW=0"
    echo "holds edge_move edge_move.pml"
    # Each fault is checked against its own invariant alone: M_P5_NO_FENCE against P5.
    local fault
    for fault in $(grep -ohE '\bM_P[0-9]+_[A-Z_]+' tickets.pml | sort -u); do
        echo "rejected tickets_$fault tickets.pml -DTICKETS=1 -DFORGETS=1 -DONLY_$(cut -d_ -f2 <<<"$fault") -D$fault"
    done
    for file in edge_request edge_keys edge_move; do
        for fault in $(grep -ohE '\bM_[A-Z_]+' "$file.pml" | sort -u); do
            echo "rejected ${file}_$fault $file.pml -D$fault"
        done
    done
    for fault in $(grep -ohE '\bM_P[0-9]+_[A-Z_]+' adoption.pml | sort -u); do
        echo "rejected adoption_$fault adoption.pml -DONLY_$(cut -d_ -f2,3 <<<"$fault") -D$fault"
    done
}

# The walks that the C++ state machines replay have to be those of this specification.
./walks.sh >"$work/walks.txt"
cmp "$work/walks.txt" walks.txt || { echo "FAILED: walks.txt is out of date: spec/walks.sh >spec/walks.txt"; exit 1; }

runs >"$work/runs"
[ "$(grep -c ^rejected "$work/runs")" -ge 16 ] || { echo "FAILED: seeded faults are missing"; exit 1; }
xargs -P "${JOBS:-3}" -d '\n' -I{} bash -c 'check {}' <"$work/runs"
echo "all specifications hold, all seeded faults are rejected"
