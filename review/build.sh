#!/bin/sh
# The stand-ins of the cases are Python files that use the standard library only, so
# they are run as they lie. This checks that they can be compiled, and that the build
# of the deploy file has put the program in place.
set -eu
cd "$(dirname "$0")/.."
test -f target/deps/relay.py || sh deploy/build.sh
for file in review/harness.py review/*/scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
