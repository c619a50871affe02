PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
KEEP ?= 0

.PHONY: demo test lint check-types docs overhead soak clean

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[lab,dev]'
	touch $(VENV)/.installed

demo: $(VENV)/.installed
	$(BIN)/gooseberry-lab demo $(if $(filter 1,$(KEEP)),--keep,)

test: lint check-types
	$(BIN)/pytest -n 6 --dist worksteal

lint: $(VENV)/.installed
	$(BIN)/ruff check src tests examples
	$(BIN)/ruff format --check src tests examples
	$(BIN)/lint-imports

check-types: $(VENV)/.installed
	$(BIN)/mypy

docs: $(VENV)/.installed
	$(BIN)/gooseberry-lab reference docs/operators

overhead: $(VENV)/.installed
	bench/processes.sh overhead --json

soak: $(VENV)/.installed
	bench/processes.sh soak --json

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
