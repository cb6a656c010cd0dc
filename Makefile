.PHONY: demo test

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
