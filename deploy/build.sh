#!/usr/bin/env bash
# Puts the product and the packages it runs with under target/deps.
set -euo pipefail
# Instances on the platform speak no TLS, so they get less than what the whole
# product runs with: with the packages for it installed, twisted imports them
# at each start, which takes a third of the time until an instance serves.
lock=requirements/relay.lock
deps=target/deps
mkdir -p target
# Two builds in one checkout would move each other's trees away.
exec 9<target
flock 9
if ! cmp -s "$lock" target/installed.lock; then
    rm -rf "$deps"
    python3 -m pip install --quiet --require-hashes --no-deps --target "$deps" -r "$lock"
    cp "$lock" target/installed.lock
fi
# Without a change nothing is moved: instances may start meanwhile.
if [ -e "$deps/greengagelb" ] && diff -rq -x __pycache__ src/greengagelb "$deps/greengagelb" >/dev/null; then
    exit 0
fi
# The new tree is compiled beside the old one and put in its place at once: an
# instance may start meanwhile, and would find modules missing. Compiled, as an
# instance that may not write there would compile all modules at each start.
rm -rf target/next target/former
cp -r src/greengagelb target/next
python3 -m compileall -q --invalidation-mode unchecked-hash target/next
if [ -e "$deps/greengagelb" ]; then
    mv "$deps/greengagelb" target/former
fi
mv target/next "$deps/greengagelb"
rm -rf target/former
