.PHONY: binary demo test

test:
	bash .ci/run

demo: .venv/installed.lock
	.venv/bin/greengagelb demo

.venv/installed.lock: requirements/dev.lock
	rm -rf .venv
	python3.11 -m venv .venv
	.venv/bin/pip install --quiet --require-hashes -r requirements/dev.lock
	.venv/bin/pip install --quiet --no-deps --no-build-isolation -e .
	cp requirements/dev.lock .venv/installed.lock

# One file that runs as one process; see docs/design/packaging.md.
binary: .venv/installed.lock
	rm -rf build/site
	.venv/bin/pip install --quiet --require-hashes --no-deps --target build/site -r requirements/run.lock
	.venv/bin/pip install --quiet --no-deps --no-build-isolation --target build/site .
	find build/site -depth -type d \( -name test -o -name tests \) -exec rm -r {} +
	mkdir -p dist
	.venv/bin/shiv --compressed --reproducible --root /run/greengagelb --console-script greengagelb --python '/usr/bin/env python3.11' --site-packages build/site --output-file dist/greengagelb
