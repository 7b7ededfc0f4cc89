#!/bin/sh
# Checks the stand-ins, which are Python programs and need no build.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import pathlib
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
PYTHON
