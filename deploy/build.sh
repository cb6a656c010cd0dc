#!/usr/bin/env bash
# Puts the product and the packages it runs with under target/deps.
set -euo pipefail
lock=requirements/run.lock
if ! cmp -s "$lock" target/installed.lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --no-deps --target target/deps -r "$lock"
    cp "$lock" target/installed.lock
fi
rm -rf target/deps/greengagelb
cp -r src/greengagelb target/deps/greengagelb
