# Targets for people and CI. VENV may point at an environment that is already there.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: help run test install format lint types unit features demo regressions

help: ## List the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

install: $(VENV)/.installed ## Make the virtual environment with pinned packages

run: install ## Run both deployments on embedded stand-ins and send sample requests
	$(BIN)/python -m acaciacove demo

test: install ## Everything that CI runs
	VENV=$(VENV) bash tests/run_all.sh

format: install ## Rewrite the sources to the house format
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: install ## Formatter and linter, as CI runs them
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: install ## The type checker
	$(BIN)/mypy

unit: install ## pytest alone
	$(BIN)/python -m pytest

features: install ## behave alone
	$(BIN)/behave --no-color --format progress features

regressions: ## Score the large deployments with the users' bench (FLEETBENCH, SITES)
	bash deploy/regressions.sh
