#!/bin/sh
# Installs the entry VM's dependencies and the package, compiled, below target/deps.
# A package that is already there stays untouched: running processes may start again from it.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps -r deploy/requirements.txt
diff -rq -x __pycache__ marjoramford target/deps/marjoramford >/dev/null 2>&1 && exit 0
rm -rf target/package
mkdir -p target/package
cp -r marjoramford target/package/
python3 -OO -m compileall -q target/package/marjoramford target/deps
rm -rf target/deps/marjoramford
mv target/package/marjoramford target/deps/
