# Entry points for people and CI. CMake does the work.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.'

.PHONY: all setup build test check format format-check generated-check lint
.PHONY: demo bench clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure --no-tests=error -j 4

format:
	@$(SOURCES) | xargs clang-format -i

format-check:
	@$(SOURCES) | xargs clang-format --dry-run --Werror

generated-check:
	@scripts/check_generated.sh

lint: build
	@scripts/lint.sh $(BUILD) $(JOBS)

check: build format-check generated-check lint test
	@scripts/known_red.sh

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
