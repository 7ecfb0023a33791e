PYTHON ?= python3
BIN = .venv/bin
NAME ?=
PATTERN ?= gray_pool

.PHONY: demo test measure experiment format lint generate docs

.venv/ready: requirements.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch .venv/ready

demo: .venv/ready
	$(BIN)/python -m bench.demo

test: .venv/ready
	$(BIN)/python -m pytest

measure: .venv/ready
	$(BIN)/python -m bench.measure $(NAME)

experiment: .venv/ready
	$(BIN)/python -m bench.experiments $(PATTERN) --report experiment-$(PATTERN).html

format: .venv/ready
	$(BIN)/isort trefoilpin bench platform soak
	$(BIN)/black --quiet trefoilpin bench platform soak

lint: .venv/ready
	$(BIN)/black --check --quiet trefoilpin bench platform soak
	$(BIN)/isort --check-only --quiet trefoilpin bench platform soak
	$(BIN)/flake8 trefoilpin bench platform soak

# Needs the thrift compiler; the generated code is committed.
generate:
	rm -rf trefoilpin/thrift_gen && mkdir -p trefoilpin/thrift_gen
	for idl in trefoilpin/idl/*.thrift; do \
		thrift --gen py:package_prefix=trefoilpin.thrift_gen. -out trefoilpin/thrift_gen $$idl || exit 1; \
	done
	find trefoilpin/thrift_gen -name '*-remote' -delete

docs: .venv/ready
	$(BIN)/python -m trefoilpin.pages
