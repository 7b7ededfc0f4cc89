#!/usr/bin/env bash
# Fails if the core refers to the users' platform, which only platform/, the emulators and the programs
# may do, if production code includes test tools, or if a source file exceeds the line limit.
set -euo pipefail
cd "$(dirname "$0")/.."
names='#include "platform/|Stoathold-|STOATHOLD_NODE_FILE|"keyed\.|/api/|log-append|log-read|log-newest|log-join|log-owners'
if git grep -nE "$names" -- 'src/*.cc' 'src/*.h' 'bench/*.cc' 'bench/*.h'; then
  echo "layers: the lines above name the users' platform outside platform/"
  exit 1
fi
if git grep -nE '#include "(emulator|tests|bench)/' -- 'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h'; then
  echo "layers: the lines above include test tools"
  exit 1
fi
max_lines=400
long_files=$(git ls-files 'src/*' 'platform/*' 'apps/*' 'emulator/*' 'bench/*' | xargs wc -l |
  awk -v most="$max_lines" '$2 != "total" && $1 > most')
if [ -n "$long_files" ]; then
  echo "$long_files"
  echo "layers: the files above have more than $max_lines lines"
  exit 1
fi
echo "layers: clean"
