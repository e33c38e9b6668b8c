# Targets set up their own virtual environment.
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := src:.

.PHONY: all demo test check format bench soak scenarios-soak experiments regression clean

all: check test

$(STAMP): pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

# Tests listed in KNOWN-RED.txt run first; their outcome is printed and not counted.
KNOWN_RED := $(shell test ! -e KNOWN-RED.txt || sed -n 's/^test: //p' KNOWN-RED.txt)

test: $(STAMP)
	-$(if $(KNOWN_RED),$(BIN)/python -m pytest $(foreach test,$(KNOWN_RED),'$(test)'))
	$(BIN)/python -m pytest $(foreach test,$(KNOWN_RED),--deselect='$(test)')

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src tests standins demo bench experiments scenarios soak deploy
	$(BIN)/mypy src standins demo bench experiments scenarios soak

format: $(STAMP)
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m bench

# Real relay processes under faults; SEED is the first of SEEDS seeds.
soak: SEED ?= 1
soak: SEEDS ?= 1
soak: $(STAMP)
	$(BIN)/python -m soak $(SEED) $(SEEDS)

# Seeds 1 to SEEDS of every scenario file.
scenarios-soak: SEEDS ?= 10
scenarios-soak: $(STAMP)
	$(BIN)/python -m scenarios soak --seeds $(SEEDS)

experiments: $(STAMP)
	$(BIN)/python -m experiments

# Light days of the users' deployments. FLEETBENCH is their bench, SITES their site
# files, JOBS the number of cores to use.
regression: JOBS ?= 3
regression:
	test -n "$(FLEETBENCH)" -a -n "$(SITES)"
	$(foreach site,$(SITES),$(FLEETBENCH) score $(site) --quick --jobs $(JOBS) --why regression &&) true

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .hypothesis
