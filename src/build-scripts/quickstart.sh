#!/usr/bin/env bash
# Builds, starts a small site on loopback addresses, sends one request and one batch job, and shows
# their answers. All processes end with the script.
set -euo pipefail
cd "$(dirname "$0")/../.."
src/build-scripts/build.sh
VERBENALEVER_BUILD=build PYTHONPATH=testsuite exec python3 src/build-scripts/quickstart.py
