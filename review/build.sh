#!/bin/sh
# Checks that the stand-ins compile; they need Python's standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py
rm -rf standins/__pycache__
