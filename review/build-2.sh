#!/bin/sh
# The stand-ins of cases 4 to 8 are Python programs without dependencies: nothing has
# to be built for them. The program itself is built by the line of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in stand_ins_2.py [4-8]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
