#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy libclang-rt-14-dev
    libboost-dev libcpprest-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
    prometheus-cpp-dev libtomlplusplus-dev libcli11-dev liblog4cxx-dev libcpputest-dev
    liburcu-dev nlohmann-json3-dev libxxhash-dev libbenchmark-dev libssl-dev openssl spin curl jq python3-minimal
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "install ok installed"; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
echo "packages ready"
