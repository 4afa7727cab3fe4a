#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on those that changed since its last pass.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' | xargs clang-format --dry-run --Werror
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
stamps=build/lint-stamps
mkdir -p "$stamps"
# A source is linted again when it, any header of ours or the rules have changed.
headers=$(git ls-files -co --exclude-standard 'src/*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
lint_one() {
  stamp="$2/$( (echo "$3"; echo "$1"; cat "$1") | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
git ls-files -co --exclude-standard 'src/*.cpp' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {} "$stamps" "$headers"
echo "format and lint: clean"
