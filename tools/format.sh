#!/usr/bin/env bash
# Formats all sources; with --check only reports what is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run -Werror"
git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'standins/*' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp' 'fuzz/*' |
    grep -E '\.(h|cpp)$' | while read -r file; do [ -f "$file" ] && echo "$file"; done |
    xargs -r -P 8 -n 8 clang-format --style=file $mode
