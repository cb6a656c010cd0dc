#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 8. They are Python of the standard
# library alone, so they are only compiled; deploy/build.sh builds the product.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2 [4-8]/case.py
