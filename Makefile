# The two commands that the README names are `make demo` and `make test`.

CARGO := cargo

.PHONY: all test fmt clippy unit docs demo bench setup

all:
	$(CARGO) build --workspace

# nng's C library is built with cmake.
setup:
	@command -v cmake >/dev/null || (apt-get update -qq && apt-get install -y -qq cmake)

test: setup fmt clippy unit docs

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

# Repeats the slopes that docs/CAPACITY.md rests on.
bench: setup
	$(CARGO) build --release --examples
	@for f in examples/*_bench.rs; do \
		name=$$(basename $$f .rs); \
		echo "== $$name"; \
		$(CARGO) run -q --release --example $$name || exit 1; \
	done
