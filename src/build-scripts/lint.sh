#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on those that changed since they last passed.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' |
  xargs clang-format --dry-run --Werror
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
export stamps=build/lint-stamps
mkdir -p "$stamps"

# A source is linted again when it, a header of the project that it includes, or .clang-tidy has changed.
lint_one() {
  files=$(g++ -std=c++20 -MM -MT x -DMSGPACK_NO_BOOST -I. -Isrc/include -Isrc/libverbenalever \
    -Isrc/standins "$1" |
    sed 's/^x://' | tr -d '\\\n')
  stamp="$stamps/$(cat .clang-tidy $files | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "format and lint: clean"
