#!/bin/sh
# Checks the stand-ins that the scripts start: they are Python and need no build.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || exit 1
for file in *.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
    exit 1
done
