# Shortcuts for CMake and Ninja. `make help` lists them.
BUILD ?= build

.PHONY: help packages build check demo platform-demo format lint bench policy \
        soak soak-faults

help:
	@echo "packages  install the Debian packages that the build needs"
	@echo "build     build all programs and tests"
	@echo "check     build and pass all tests"
	@echo "demo      build, start everything on loopback, serve a request, stop"
	@echo "platform-demo  a front, a stand-in of the users' store and two engines"
	@echo "lint      formatter and linter, as CI runs them"
	@echo "format    format the sources in place"
	@echo "bench     added latency and throughput of the request path"
	@echo "policy    goodput of the scheduling policy against baselines"
	@echo "soak-faults  fronts under faults: make soak-faults SEED=1 SECONDS=60"
	@echo "soak      long randomised run: make soak SEED=1 STEPS=1000000"

packages:
	tools/packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

check: build
	tools/check $(BUILD)

lint: build
	tools/lint $(BUILD)

format:
	tools/format

bench: build
	tools/bench $(BUILD)

policy: build
	$(BUILD)/policy

SECONDS ?= 60
soak-faults: build
	mkdir -p $(BUILD)/soak-logs
	$(BUILD)/fault-soak --seed $(SEED) --seconds $(SECONDS) --logs $(BUILD)/soak-logs

SEED ?= 1
STEPS ?= 1000000
soak: build
	for part in $(BUILD)/soak-*; do $$part --seed=$(SEED) --steps=$(STEPS) || exit 1; done

demo: build
	tools/demo $(BUILD)

platform-demo: build
	$(BUILD)/process-tests "a front serves each kind of call" --success
