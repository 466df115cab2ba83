PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run run-zones run-site test bench format

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

run: $(VENV)/.installed
	$(BIN)/python -m greengagerock.testing.launch examples/single

run-zones: $(VENV)/.installed
	$(BIN)/python -m greengagerock.testing.launch examples/zones

run-site: $(VENV)/.installed
	$(BIN)/python -m greengagerock.testing.launch_site

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

bench: $(VENV)/.installed
	$(BIN)/python -m bench.all

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
