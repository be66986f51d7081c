PYTHON ?= python3.11
BIN := .venv/bin
SOURCES := src tests standins demo bench

.PHONY: demo test lint format bench unprotected matrix binary clean

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: .venv/installed
	$(BIN)/python -m demo

lint: .venv/installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

format: .venv/installed
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

test: lint
	$(BIN)/python -m pytest

bench: .venv/installed
	$(BIN)/python -m bench

matrix: .venv/installed
	$(BIN)/python -m tests.matrix

unprotected: .venv/installed
	$(BIN)/python -m tests.unprotected

binary: .venv/installed
	rm -rf build/site
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --target build/site -r requirements-run.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --target build/site --no-deps .
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site --console-script bluebellyoke \
		--reproducible --python '/usr/bin/env python3.11' \
		--output-file dist/bluebellyoke

clean:
	rm -rf .venv build dist
