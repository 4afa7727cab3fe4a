#!/usr/bin/env bash
# Installs what the build, the tests and the checks need, on Debian.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config python3 clang-format clang-tidy
  libev-dev libmsgpack-cxx-dev libmicrohttpd-dev libcurl4-openssl-dev libgflags-dev libfmt-dev
  libabsl-dev librapidcheck-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libgtest-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
