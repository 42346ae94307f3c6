# Every target works on a fresh machine with Python 3.11 and make.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
MINUTES ?= 30
PROFILE ?= aspenhold

.PHONY: demo test lint format soak bench golden clean

$(VENV)/.installed: requirements/run.txt requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bramleylead demo

test: $(VENV)/.installed
	$(BIN)/python -m testing

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: $(VENV)/.installed
	$(BIN)/python -m bramleylead soak --seed=$(SEED) --minutes=$(MINUTES) --profile=$(PROFILE)

bench: $(VENV)/.installed
	$(BIN)/python -m bramleylead bench path

golden: $(VENV)/.installed
	$(BIN)/python -m testing.golden --write

clean:
	rm -rf $(VENV)
