#!/usr/bin/env bash
# Prints random walks of tickets.pml, seeded, one event and the state after it per line, for tests/core/WitnessConformanceTest.cpp:
#   spec/walks.sh >spec/walks.txt
# Kept are walks with two of: a grant arrives, a witness proves "not run" or takes a handover, the owner restarts.
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD
work=$(mktemp -d) # spin leaves its preprocessed file in the working directory
trap 'rm -rf "$work"' EXIT
cd "$work"
kept=0
for ((seed = 1; seed <= 1000 && kept < 60; ++seed)); do
    spin -T -DTRACE -DTICKETS=2 -n"$seed" -u1500 "$spec/tickets.pml" |
        sed -n '/^[a-zA-Z]* [0-9]* [0-9]*$/ { N; s/\n/ /; p }' |
        grep -E '^[a-zA-Z]+ [0-9]+ [0-9]+ = [a-zA-Z]+ [0-9]+ [0-9]+ [a-zA-Z]+ [a-zA-Z]+( [0-9]+){6}$' >walk || true
    [ "$(grep -oE '^(answer|takeHandover|onGranted|restart) ' walk | sort -u | wc -l)" -ge 2 ] || continue
    echo "walk $seed"
    cat walk
    kept=$((kept + 1))
done
