# Shortcuts for the CMake build and its tools.
BUILD := build
JOBS := $(shell nproc)
SOURCES = $(shell git ls-files '*.cpp' '*.hpp')

.PHONY: build packages check demo format format-check lint test clean bench bench-quick explore soak

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

packages:
	tools/install_packages

check: build format-check lint test
	tools/known_red

test:
	ctest --test-dir $(BUILD) --output-on-failure -j 4

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint:
	tools/lint $(BUILD)

demo: build
	tools/demo

SEEDS ?= 100
FIRST_SEED ?= 1
explore: build
	$(BUILD)/explore --seeds $(SEEDS) --first-seed $(FIRST_SEED)

bench: build
	python3 bench/run.py

bench-quick: build
	python3 bench/run.py --quick

clean:
	rm -rf $(BUILD)

# Injects external faults into the real programs; the logs of failed seeds are kept in build/soak.
SOAK_SECONDS ?= 20
SOAK_JOBS ?= 3
soak: build
	python3 tests/soak/soak.py --seeds $(SEEDS) --first-seed $(FIRST_SEED) --seconds $(SOAK_SECONDS) --jobs $(SOAK_JOBS) --keep $(BUILD)/soak
