#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the program of the deploy file. Their
# stand-ins are Python programs without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -c 'import ast; ast.parse(open("standin-3/standin.py", encoding="utf-8").read())'
