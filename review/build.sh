#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs of the standard library alone, so that
# there is nothing to compile; the scripts start no other stand-in.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py [1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
