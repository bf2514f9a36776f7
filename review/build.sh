#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs of the standard library, so this only checks that the
# interpreter can run them. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in lib/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
