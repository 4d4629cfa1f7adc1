#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python, standard library alone, so this only checks them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -P -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -e ../target/deps/marjoramford/platform/__main__.py ] || {
    echo "the build of deploy/system.toml comes first" >&2
    exit 1
}
