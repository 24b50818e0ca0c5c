# The two commands a newcomer needs: make run, make test.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: run test build install-packages capacity format lint

run: build
	$(BUILD)/fulmarlink demo --requests 400 --seed 1

test: build
	cd $(BUILD) && ctest --output-on-failure -j $(JOBS) -E "$$($(CURDIR)/testing/known-red.sh)"

build: install-packages
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j $(JOBS)

install-packages:
	bash .ci/run --install-only

capacity: build
	$(BUILD)/capacity_bench

format:
	clang-format -i $$(git ls-files '*.h' '*.cpp' | grep -v _generated)

lint: build
	bash .ci/run --lint-only
