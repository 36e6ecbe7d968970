PYTHON ?= python3
VENV ?= .venv
SEED ?= 1
SECONDS ?= 300
DEPLOYMENT ?= all
SCENARIO ?= all
BIN = $(VENV)/bin
RUN = PYTHONPATH=. $(BIN)/python

.PHONY: install format lint test fuzz demo soak soak-platform bench generate clean

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

install: $(VENV)/.installed

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(RUN) -m standins.run_tests

fuzz: install
	$(RUN) -m standins.run_tests --only fuzz --seconds $(SECONDS) --seed $(SEED)

demo: install
	$(RUN) -m bench.demo

soak: install
	$(RUN) -m bench.soak --seconds $(SECONDS) --seed $(SEED)

soak-platform: install
	$(RUN) -m bench.platform_soak --seed $(SEED) --seconds $(SECONDS)

bench: install
	$(RUN) -m bench.measure --seed $(SEED) --deployment $(DEPLOYMENT) \
		--scenario $(SCENARIO)

# Needs Debian's thrift-compiler; its output is committed.
generate:
	thrift --gen py:enum,slots -out egretshed/gen egretshed/peers/messages.thrift

clean:
	rm -rf build .hypothesis .ruff_cache
