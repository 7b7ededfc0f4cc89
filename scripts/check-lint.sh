#!/usr/bin/env bash
# Runs clang-tidy over every source file outside tests. Usage: check-lint.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
# clang-tidy cannot read GCC's precompiled headers, so it uses a compilation database without them.
lint_database=$build/lint
cmake -S . -B "$lint_database" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' 'apps/*.cc' 'emulator/*.cc' 'bench/*.cc')
echo "lint: ${#files[@]} files"
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$lint_database" 2>/dev/null
scripts/check-layers.sh
echo "lint: clean"
