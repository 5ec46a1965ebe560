#!/usr/bin/env bash
# Checks that every stand-in compiles; they are plain Python without dependencies.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
