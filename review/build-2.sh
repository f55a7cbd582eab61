#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python programs of the standard library alone, so
# that there is nothing to compile; the scripts start no other stand-in.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2.py {6,7,8,9,10}/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
