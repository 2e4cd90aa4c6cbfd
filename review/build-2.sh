#!/usr/bin/env bash
# Prepares what review/4 to review/8 start besides the daemon of the deploy
# file: the stand-ins of lab-2/, which need python3 and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in lab-2/*.py [4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
