#!/usr/bin/env bash
# Set-up, formatter, build, linter, tests, sanitizer runs and bounded model checking. CI runs this script.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh

# Clones in other folders share compiled objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
jobs=${JOBS:-$(nproc)}
started=$(date +%s)
section() { echo "== $1 ($(($(date +%s) - started)) s)"; }

section "format"
tools/format.sh --check

section "names"
tools/check-names.sh

section "build"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$jobs" 2>&1 | grep -E "error|warning|FAILED" || true
cmake --build build -j "$jobs" >/dev/null

section "lint"
tools/lint.sh build "$jobs"

known=$(tools/known-red.sh)
section "tests"
runTests() { # BUILD JOBS [CTEST-OPTION...]
    local output directory=$1 jobs=$2
    shift 2
    output=$(mktemp)
    if ! ctest --test-dir "$directory" -j "$jobs" "$@" --timeout 400 --output-on-failure ${known:+-E "$known"} >"$output" 2>&1; then
        grep -vE "^TEST\(.*ms$" "$output" | tail -n 200
        rm -f "$output"
        return 1
    fi
    tail -n 4 "$output"
    rm -f "$output"
}
# Programs under test share the cores, so only a few run at a time.
runTests build 4

# The core and the edge node have no threads, so that the thread sanitizer runs on the tests of the node library only.
sanitize() { # SANITIZERS EDGE [CTEST-OPTION...]
    local sanitizer=$1 edge=$2 directory="build-${1%%,*}"
    shift 2
    section "sanitizer $sanitizer"
    cmake -S . -B "$directory" -G Ninja -DGUAVAPOND_CORE_ONLY=ON -DGUAVAPOND_WITH_EDGE="$edge" -DGUAVAPOND_SANITIZE="$sanitizer" >/dev/null
    cmake --build "$directory" -j "$jobs" >/dev/null
    runTests "$directory" "$jobs" "$@"
}
sanitize address,undefined ON
sanitize thread OFF -R '^(RequestPath|TableWatcher|TargetMonitor|Witness.*|MoveWatch)Test$'

if [ -x spec/check.sh ]; then
    section "model checking"
    spec/check.sh
fi

section "done"
passed=$(ctest --test-dir build -N ${known:+-E "$known"} | sed -n 's/^Total Tests: //p')
echo "$passed passed, 0 failed"
