#!/bin/sh
# Prepares what the scripts of review/4 to review/6 start. Their stand-ins are Python programs of the
# standard library and need no build; the node is built by the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/stand-ins-2/*.py review/[456]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/apps/stoathold
