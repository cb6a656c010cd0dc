#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python of the standard library
# alone, so they are only compiled; the product is built by deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]*/case.py entries/*/case.py
