#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec python3 case.py
