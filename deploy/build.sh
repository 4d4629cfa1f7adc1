#!/bin/sh
# Installs the entry VM's dependencies and the package, compiled, below target/deps.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps -r deploy/requirements.txt
rm -rf target/deps/marjoramford
cp -r marjoramford target/deps/
python3 -OO -m compileall -q target/deps
