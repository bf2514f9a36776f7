BUILD_DIR ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test unit integration bench demo format lint clean
all: build

packages:
	@scripts/install-packages

$(BUILD_DIR)/build.ninja: CMakeLists.txt | packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja >$(BUILD_DIR).cmake.log 2>&1 || (cat $(BUILD_DIR).cmake.log; exit 1)
	@mv $(BUILD_DIR).cmake.log $(BUILD_DIR)/cmake.log

build: $(BUILD_DIR)/build.ninja
	@cmake --build $(BUILD_DIR) -j $(JOBS) -- --quiet

unit: build
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j 4

integration: build
	@BUILD_DIR=$(BUILD_DIR) /usr/bin/python3 -m pytest -q -rxX -p no:cacheprovider tests/integration

test: unit integration

bench: build
	@BUILD_DIR=$(BUILD_DIR) scripts/bench

demo: build
	@BUILD_DIR=$(BUILD_DIR) /usr/bin/python3 tools/stand_in/demo.py

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '/generated/' | xargs -r clang-format -i

lint: build
	@scripts/lint

clean:
	rm -rf $(BUILD_DIR)
