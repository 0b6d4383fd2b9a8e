#!/usr/bin/env bash
# Runs the case of a folder: run.sh FOLDER. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=$(basename "$1")
[ -x "target/review-2/case-$case" ] && [ -x target/guavapond-edge ] || { echo "build first: the deploy file, then review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
timeout -k 2 115 "target/review-2/case-$case" "review/$case/record.txt" "$work"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
rm -rf "$work"
[ "$code" -le 2 ] || code=2
exit "$code"
