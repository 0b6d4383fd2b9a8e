#!/usr/bin/env bash
# Plays a rolling replacement of guavapond-edge of an earlier commit by that of this tree: mixed-builds.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?commit}
jobs=${JOBS:-$(nproc)}
work=$(mktemp -d)
trap 'git worktree remove --force "$work/former" 2>/dev/null || true; rm -rf "$work"' EXIT
git worktree add --detach "$work/former" "$commit" >/dev/null
cmake -S "$work/former" -B "$work/build" -G Ninja -DGUAVAPOND_EDGE_ONLY=ON >/dev/null
cmake --build "$work/build" -j "$jobs" --target guavapond-edge >/dev/null
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$jobs" --target EdgeMixedBuildsProgramTest >/dev/null
GUAVAPOND_FORMER_EDGE="$work/build/guavapond-edge" build/EdgeMixedBuildsProgramTest
