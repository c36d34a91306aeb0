# Convenience targets around the CMake build. Every target that builds first
# installs missing Debian packages, so `make run` and `make test` work on a fresh
# machine.
BUILD ?= build
CC ?= gcc
STAMP = $(BUILD)/.setup

.PHONY: setup build test run lint format model scenarios measure fuzz docs clean

setup:
	@./.ci/setup

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

run: build
	@./scenarios/demo $(BUILD)

format:
	@git ls-files '*.c' '*.h' | xargs clang-format -i

lint: build
	@./.ci/lint $(BUILD)

model: setup
	@./model/check

scenarios: build
	@./scenarios/run $(BUILD)

measure: build
	@./measure/run $(BUILD)

fuzz: setup
	@./fuzz/run

docs: setup
	@mkdir -p out && doxygen docs/Doxyfile

clean:
	@rm -rf $(BUILD) build-* out
