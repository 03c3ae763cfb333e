#!/bin/sh
# The stand-ins are Python 3 with the standard library alone: nothing is compiled, their syntax is checked.
cd "$(dirname "$0")" || exit 2
for file in standins/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
