# Entry points for people and CI. `make help` lists them.
PRESET ?= release
BUILD := build/$(PRESET)
SEED ?= 1
RUNS ?= 2000
SEEDS ?= 10

.PHONY: platform help dependencies build test demo fuzz soak format lint clean

help:
	@echo "make demo      install, build, and watch a small fleet survive the loss of a node"
	@echo "make platform  install, build, and play the whole path on the emulated users' platform"
	@echo "make test      install, build and run every test"
	@echo "make fuzz      run the stateful fuzzer: SEED=n RUNS=n"
	@echo "make soak      play faults from outside against real processes: SEED=n SEEDS=n"
	@echo "make format    check the format; make lint: check with clang-tidy"

dependencies:
	@scripts/install-dependencies.sh

build: dependencies
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET)

test: build
	@cd $(BUILD) && ctest -j"$$(nproc)" --output-on-failure --no-tests=error -E "$$($(CURDIR)/scripts/known-red.sh)"

platform: build
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/system/platform_path_test.py

demo: build
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 scripts/demo.py

fuzz: build
	@$(BUILD)/tests/fuzz/stoathold_fuzz --seed $(SEED) --runs $(RUNS)

soak: build
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/soak.py --seed $(SEED) --seeds $(SEEDS) --steps 8
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/power_loss.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/hard_load.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/store_away.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/software_versions.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/crashing_prompt_parts.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/crashing_requests.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/ending_processes.py --seed $(SEED) --seeds $(SEEDS)
	@STOATHOLD_BUILD=$(CURDIR)/$(BUILD) python3 tests/soak/misbehaving_clients.py --seed $(SEED) --seeds $(SEEDS)

format:
	@scripts/check-format.sh

lint: build
	@scripts/check-lint.sh $(BUILD)

clean:
	@rm -rf build
