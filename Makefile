# Every target works on a fresh clone: `setup` makes the environment that
# the others use. Set VENV to share one environment between work trees.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format check model measure capacity binary

setup: $(STAMP)

$(STAMP): requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 sycamorebeam tests tools demo
	$(VENV)/bin/mypy

test: setup
	$(PY) -m pytest

check: lint test

demo: setup
	$(PY) -m demo.run

model: setup
	$(PY) -m tools.model

measure: setup
	$(PY) -m tools.measure

capacity: setup
	$(PY) -m tools.capacity

binary: setup
	$(PY) -m tools.binary
