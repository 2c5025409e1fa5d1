#!/bin/sh
# The stand-ins of review/lib need nothing but Python's standard library; this
# checks that they compile. Nothing is written.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
