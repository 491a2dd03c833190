# Two targets do all the set-up: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
READY = $(VENV)/ready

.PHONY: demo test soak check format

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	    --constraint constraints.txt --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(VENV)/bin/python examples/demo.py

test: $(READY)
	$(VENV)/bin/python -m pytest

soak: $(READY)
	$(VENV)/bin/python tests/soak --minutes 1

check: $(READY)
	$(VENV)/bin/ruff format --check src tests bench examples
	$(VENV)/bin/ruff check src tests bench examples
	$(VENV)/bin/flake8 src tests bench examples

format: $(READY)
	$(VENV)/bin/ruff format src tests bench examples
