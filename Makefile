# README.md documents `make demo` and `make test`.

CARGO := cargo

.PHONY: all test fmt clippy unit docs demo bench setup

all:
	$(CARGO) build --workspace

# cmake builds nng's C library.
setup:
	@command -v cmake >/dev/null || (apt-get update -qq && apt-get install -y -qq cmake)

test: setup fmt clippy docs unit

fmt:
	$(CARGO) fmt --all --check

clippy:
	$(CARGO) clippy --workspace --all-targets -- -D warnings

unit:
	scripts/unit.sh

docs:
	RUSTDOCFLAGS="-D warnings" $(CARGO) doc --workspace --no-deps

demo: setup
	$(CARGO) build --workspace
	scripts/demo.sh

# Runs the benchmarks whose results docs/CAPACITY.md uses.
bench: setup
	$(CARGO) build --release --examples
	@for f in examples/*_bench.rs; do \
		name=$$(basename $$f .rs); \
		echo "== $$name"; \
		$(CARGO) run -q --release --example $$name || exit 1; \
	done
