# mimosapath: build, tests, demo and benchmarks.
#
#   make            build/mimosapath and build/libmimosapath.a
#   make check      install packages, build, run all tests
#   make demo       run the main job on this machine
#   make bench      timed figures (QUICK=1 for a short run)
#   make fuzz       coverage-guided fuzzing (SECONDS=n)

PACKAGES = libh2o-evloop-dev libtirpc-dev libargtable2-dev libjson-c-dev \
	libxxhash-dev libglib2.0-dev libssl-dev zlib1g-dev libhttp-parser-dev \
	pkg-config gcc make \
	clang clang-format clang-tidy libclang-rt-14-dev python3 perl curl

BUILD ?= build
CC = gcc
SANITIZE ?=
PKGS = libtirpc json-c glib-2.0 libxxhash libcrypto
PROGRAM_PKGS = libh2o-evloop argtable2 libssl

STATE = $(wildcard src/state/*.c)
COORDINATION = $(wildcard src/coordination/*.c)
PROTOCOL = $(wildcard src/protocol/*.c)
PLATFORM = $(wildcard platform/*.c)
PROGRAM = $(wildcard src/transport/*.c src/commands/*.c)
LIBRARY = src/gen/wire_xdr.c $(STATE) $(COORDINATION)
SOURCES = $(STATE) $(COORDINATION) $(PROTOCOL) $(PROGRAM) $(PLATFORM)
HEADERS = $(wildcard src/*/*.h platform/*.h)
OWN_HEADERS = $(filter-out src/gen/%,$(HEADERS))
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/Test*.c))
FUZZERS = $(patsubst fuzz/%.c,$(BUILD)/fuzz/%,$(wildcard fuzz/Fuzz*.c))

CPPFLAGS = -Isrc -Iplatform -Itests -D_GNU_SOURCE -DH2O_USE_EPOLL=1 \
	$(shell pkg-config --cflags $(PKGS) $(PROGRAM_PKGS) 2>/dev/null)
CFLAGS = -std=c11 -O2 -g -Wall -Wextra -Werror $(SANITIZE)
LDLIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lz -lm \
	-lpthread
PROGRAM_LDLIBS = $(shell pkg-config --libs $(PROGRAM_PKGS) 2>/dev/null) \
	-lcrypto $(LDLIBS)

OBJ = $(BUILD)/obj
LIBRARY_O = $(LIBRARY:src/%.c=$(OBJ)/%.o)
PROGRAM_O = $(PROTOCOL:src/%.c=$(OBJ)/%.o) $(PROGRAM:src/%.c=$(OBJ)/%.o) \
	$(PLATFORM:%.c=$(OBJ)/%.o)

.PHONY: all packages check test demo bench fuzz format lint clean slopes
all: $(BUILD)/mimosapath $(BUILD)/libmimosapath.a

$(BUILD)/mimosapath: $(PROGRAM_O) $(BUILD)/libmimosapath.a
	@echo "  LD  $@"
	@$(CC) $(CFLAGS) -o $@ $(PROGRAM_O) $(BUILD)/libmimosapath.a \
		$(PROGRAM_LDLIBS)

$(BUILD)/libmimosapath.a: $(LIBRARY_O)
	@echo "  AR  $@"
	@rm -f $@
	@ar rcs $@ $^

# Generated code keeps the warnings of its generator.
$(OBJ)/gen/%.o: src/gen/%.c
	@mkdir -p $(@D)
	@echo "  CC  $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -w -MMD -MP -c -o $@ $<

$(OBJ)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	@echo "  CC  $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(OBJ)/%.o: src/%.c
	@mkdir -p $(@D)
	@echo "  CC  $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
		{ apt-get update && apt-get install -y $(PACKAGES); }

format:
	@clang-format --dry-run -Werror $(SOURCES) $(OWN_HEADERS) \
		$(wildcard tests/*.[ch] fuzz/*.[ch])

lint:
	@printf '%s\n' $(SOURCES) | xargs -P $$(nproc) -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=c11 2>/dev/null' _

clean:
	rm -rf $(BUILD)

# ---- fuzzing ----
# The fuzz build contains the deliberate faults of state/Fault.h and runs
# under the address and undefined-behaviour sanitizers.

FUZZ_SUPPORT = fuzz/MemoryDisk.c fuzz/Agents.c fuzz/AgentsCheck.c \
	fuzz/Cluster.c fuzz/ClusterNode.c fuzz/CheckedApply.c
FUZZ_SOURCES = src/gen/wire_xdr.c $(STATE) $(COORDINATION) $(PROTOCOL) \
	$(PLATFORM) \
	src/transport/FormData.c $(FUZZ_SUPPORT)
FUZZ_SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=all
FUZZ_FLAGS = $(CPPFLAGS) -Ifuzz -DMP_TEST_FAULTS -std=c11 -O1 -g -w
FUZZ_O = $(FUZZ_SOURCES:%.c=$(BUILD)/fuzz-obj/%.o)
LIBFUZZER_O = $(FUZZ_SOURCES:%.c=$(BUILD)/libfuzzer-obj/%.o)
LIBFUZZERS = $(patsubst fuzz/%.c,$(BUILD)/libfuzzer/%,$(wildcard fuzz/Fuzz*.c))
.SECONDARY: $(FUZZ_O) $(LIBFUZZER_O)

$(BUILD)/fuzz-obj/%.o: %.c $(HEADERS) $(wildcard fuzz/*.h)
	@mkdir -p $(@D)
	@$(CC) $(FUZZ_FLAGS) $(FUZZ_SANITIZE) -c -o $@ $<

$(BUILD)/fuzz/%: fuzz/%.c fuzz/Driver.c $(FUZZ_O)
	@mkdir -p $(@D)
	@echo "  FUZZ $@"
	@$(CC) $(FUZZ_FLAGS) $(FUZZ_SANITIZE) -o $@ $^ $(LDLIBS)

$(BUILD)/libfuzzer-obj/%.o: %.c $(HEADERS) $(wildcard fuzz/*.h)
	@mkdir -p $(@D)
	@clang $(FUZZ_FLAGS) $(FUZZ_SANITIZE) -fsanitize=fuzzer-no-link -c -o $@ $<

$(BUILD)/libfuzzer/%: fuzz/%.c fuzz/Driver.c $(LIBFUZZER_O)
	@mkdir -p $(@D)
	@clang $(FUZZ_FLAGS) -DMP_LIBFUZZER $(FUZZ_SANITIZE) -fsanitize=fuzzer -o $@ $^ \
		$(LDLIBS)

# ---- tests ----

TEST_FLAGS = $(CPPFLAGS) -Ifuzz -DMP_TEST_FAULTS $(CFLAGS) $(FUZZ_SANITIZE)

$(BUILD)/tests/%: tests/%.c fuzz/Driver.c $(FUZZ_O)
	@mkdir -p $(@D)
	@echo "  TEST $@"
	@$(CC) $(TEST_FLAGS) -DMP_LIBFUZZER -w -o $@ $^ $(LDLIBS)

# The loop is tested with h2o, without the rest of the program.
$(BUILD)/tests/TestLoop: tests/TestLoop.c src/transport/Loop.c \
		src/transport/Loop.h
	@mkdir -p $(@D)
	@echo "  TEST $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -fsanitize=address -o $@ tests/TestLoop.c \
		src/transport/Loop.c $(PROGRAM_LDLIBS)

$(BUILD)/asan/mimosapath: $(SOURCES) $(HEADERS)
	@$(MAKE) --no-print-directory BUILD=$(BUILD)/asan \
		SANITIZE="$(FUZZ_SANITIZE)" $(BUILD)/asan/mimosapath

check: packages
	@$(MAKE) --no-print-directory -j$$(nproc) test

test: format lint all $(TESTS) $(FUZZERS) $(BUILD)/asan/mimosapath
	MIMOSAPATH=$(BUILD)/asan/mimosapath FUZZERS=$(BUILD)/fuzz \
	ASAN_OPTIONS=detect_leaks=0 \
	prove --comments --exec tests/exec tests/examples.t tests/knownred.t \
		tests/fuzz.t $(TESTS) tests/runs.t

demo: packages
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@MIMOSAPATH=$(BUILD)/mimosapath python3 examples/demo.py

# ---- measurements ----

$(BUILD)/bench/%: bench/%.c fuzz/MemoryDisk.c $(OBJ)/protocol/Rpc.o \
		$(BUILD)/libmimosapath.a
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) -Ifuzz $(CFLAGS) -o $@ $^ -lcrypto $(LDLIBS)

slopes: $(BUILD)/bench/Slopes all
	@$(BUILD)/bench/Slopes
	@MIMOSAPATH=$(BUILD)/mimosapath python3 bench/bench.py slopes

bench: all
	@MIMOSAPATH=$(BUILD)/mimosapath QUICK=$(QUICK) python3 bench/bench.py

SECONDS ?= 60
fuzz: $(LIBFUZZERS)
	@for target in $(LIBFUZZERS); do \
		name=$$(basename $$target); \
		mkdir -p $(BUILD)/corpus/$$name fuzz/corpus/$$name; \
		echo "== $$name"; \
		$$target -max_total_time=$(SECONDS) -max_len=4096 -timeout=60 \
			-artifact_prefix=$(BUILD)/corpus/$$name- \
			$(BUILD)/corpus/$$name fuzz/corpus/$$name 2>&1 | tail -4 || exit 1; \
	done
