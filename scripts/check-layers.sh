#!/usr/bin/env bash
# Fails if the product's core names anything of the users' platform: only platform/ may, and the
# stand-ins and programs that put it together. Fails too if a source file has grown too long.
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
most_lines=400
long_files=$(git ls-files 'src/*' 'platform/*' 'apps/*' 'emulator/*' 'bench/*' | xargs wc -l |
  awk -v most="$most_lines" '$2 != "total" && $1 > most')
if [ -n "$long_files" ]; then
  echo "$long_files"
  echo "layers: the files above have more than $most_lines lines"
  exit 1
fi
echo "layers: clean"
