#!/usr/bin/env bash
# Prepares what the scripts of review 3 start besides the build of the deploy file. Their
# stand-ins are Python modules without dependencies, so this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in standins_3.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
