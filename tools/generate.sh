#!/usr/bin/env bash
# Regenerates generated/ from proto/. The result is committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
