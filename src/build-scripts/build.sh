#!/usr/bin/env bash
# Installs the packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/../.."
src/build-scripts/install_packages.sh
cmake --preset default >/dev/null
cmake --build --preset default
