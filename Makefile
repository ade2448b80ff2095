# Shortcuts for the CMake build. The targets that build also install missing Debian packages.
JOBS ?= $(shell nproc)
DEMO_SECONDS ?= 0

.PHONY: all deps build asan fuzz check test soak demo bench measures plots slopes format lint clean

all: build

deps:
	@tools/install-deps

build: deps
	@cmake -S . -B build >/dev/null
	@cmake --build build -j $(JOBS) --no-print-directory 2>/dev/null || cmake --build build -j $(JOBS)

asan: deps
	@cmake -S . -B build-asan -DCMAKE_BUILD_TYPE=Debug -DJH_SANITIZE=ON >/dev/null
	@cmake --build build-asan -j $(JOBS)

fuzz: deps
	@cmake -S . -B build-fuzz -DCMAKE_C_COMPILER=clang -DJH_SANITIZE=ON -DJH_FUZZ=ON >/dev/null
	@cmake --build build-fuzz -j $(JOBS)

check: build asan fuzz
	@tools/check

# Quick tests for development, in under a minute: the unit test programs except the three longest,
# and two short scenarios. CI runs `make check`.
test: build
	@ctest --test-dir build --output-on-failure -j 4 -R '^test_|^scenario_(path|once)$$' \
		-E '^test_(quota|membership|failover)$$'

# Callers, members and faults against daemons of the profile fleet, for SOAK_SEEDS seeds.
SEED ?= 1
SECONDS ?= 12
SOAK_SEEDS ?= 1
soak: build
	@build/bin/scenario scenarios/fleet_soak.lua $(SEED) $(SOAK_SEEDS) $(SECONDS)

demo: build
	@DEMO_SECONDS=$(DEMO_SECONDS) build/bin/scenario scenarios/demo.lua

bench: build
	@build/bin/scenario scenarios/bench.lua

measures: build
	@build/bin/scenario scenarios/measures.lua

plots: deps
	@tools/plot

slopes: build
	@build/bin/slopes
	@build/bin/quota_sim scale
	@build/bin/scenario scenarios/slopes.lua

format:
	@git ls-files '*.c' '*.h' | grep -v pb-c | xargs clang-format -i

lint: build
	@tools/lint

clean:
	@rm -rf build build-asan build-fuzz
