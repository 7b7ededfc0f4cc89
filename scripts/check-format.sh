#!/usr/bin/env bash
# Fails if any C++ file is not formatted according to .clang-format. With --fix, formats all files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
echo "format: ${#files[@]} files checked"
