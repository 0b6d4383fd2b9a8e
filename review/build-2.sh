#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, each with its stand-ins (review/world-2), into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "target/review-2/case-$case" "$source"
    echo "built target/review-2/case-$case"
done
