#!/usr/bin/env bash
# Runs clang-tidy on all sources with the compile commands of a build directory: lint.sh BUILD JOBS [FILE...]
# A file whose content, headers, configuration and linter are unchanged since its last clean run is skipped; what was clean is kept in
# GUAVAPOND_LINT_CACHE (default ~/.cache/guavapond-lint), so that clones in other folders share it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${2:-$(nproc)}
shift $(($# > 2 ? 2 : $#))
commands="$build/lint"
stamps=${GUAVAPOND_LINT_CACHE:-$HOME/.cache/guavapond-lint}
mkdir -p "$commands" "$stamps"
headers=$( (clang-tidy --version; cat CMakeLists.txt cmake/*.cmake .clang-tidy $(git ls-files --cached --others --exclude-standard '*.h' | grep -E '^(src|platform|standins|bench|tests|fuzz)/')) 2>/dev/null | sha256sum)
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'fuzz/*.cpp')
fi
# One compile command for each file: clang-tidy reads a file once for every command that names it.
jq 'unique_by(.file)' "$build/compile_commands.json" >"$commands/compile_commands.json"
export build commands stamps headers
lintOne() {
    local stamp output
    [ -f "$1" ] || return 0
    stamp="$stamps/$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-32)"
    [ -f "$stamp" ] && return 0
    # -Wno-unknown-warning-option: the compile commands are gcc's.
    if ! output=$(clang-tidy --quiet -p "$commands" --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null); then
        echo "$output"
        echo "clang-tidy failed: $1"
        return 1
    fi
    touch "$stamp"
}
export -f lintOne
printf '%s\n' "${files[@]}" | xargs -P "$jobs" -I{} bash -c 'lintOne {}'
