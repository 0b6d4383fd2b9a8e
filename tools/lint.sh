#!/usr/bin/env bash
# Runs clang-tidy on all sources with the compile commands of a build directory: lint.sh BUILD JOBS [FILE...]
# A file whose content, included headers, configuration and linter are unchanged since its last clean run is skipped; what was clean is
# kept in GUAVAPOND_LINT_CACHE (default ~/.cache/guavapond-lint), so that clones in other folders share it. The headers that a file
# includes are those of its last compilation in BUILD; a file that was not compiled there depends on all headers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${2:-$(nproc)}
shift $(($# > 2 ? 2 : $#))
commands="$build/lint"
stamps=${GUAVAPOND_LINT_CACHE:-$HOME/.cache/guavapond-lint}
mkdir -p "$commands" "$stamps"
configuration=$( (clang-tidy --version; cat CMakeLists.txt cmake/*.cmake .clang-tidy) 2>/dev/null | sha256sum)
mapfile -t headers < <(git ls-files --cached --others --exclude-standard '*.h' | grep -E '^(src|platform|standins|bench|tests|fuzz)/')
allHeaders=$(cat "${headers[@]}" | sha256sum)
# Lines "SOURCE<tab>FILE": the files of this repository that a compilation has read.
dependencies="$commands/dependencies"
ninja -C "$build" -t deps 2>/dev/null | awk -v root="$PWD/" '
    /^[^ ]/ { source = ""; next }
    NF == 1 {
        path = index($1, root) == 1 ? substr($1, length(root) + 1) : $1
        sub(/^\.\.\//, "", path)
        if (path ~ /^\//) next
        if (source == "") source = path
        print source "\t" path
    }' | sort -u >"$dependencies"
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'fuzz/*.cpp')
fi
# One compile command for each file: clang-tidy reads a file once for every command that names it.
jq 'unique_by(.file)' "$build/compile_commands.json" >"$commands/compile_commands.json"
export build commands stamps configuration allHeaders dependencies
lintOne() {
    local stamp output included
    [ -f "$1" ] || return 0
    mapfile -t included < <(awk -F'\t' -v source="$1" '$1 == source { print $2 }' "$dependencies")
    stamp="$stamps/$( (echo "$configuration"; cat "$1"; if [ "${#included[@]}" -gt 0 ]; then cat "${included[@]}"; else echo "$allHeaders"; fi) \
        2>/dev/null | sha256sum | cut -c1-32)"
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
