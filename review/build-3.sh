#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 of the third review into target/review-3/. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -DBOOST_BEAST_USE_STD_STRING_VIEW "$source" -o "target/review-3/case-$number" -pthread
done
