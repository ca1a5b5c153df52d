#!/usr/bin/env bash
# Builds what the scripts start beside the project's own programs. The stand-ins are Python without
# packages, so it only checks that they compile and that the interpreter is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
