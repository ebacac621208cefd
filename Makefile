# make            builds build/cyclamenferry
# make check      builds and runs all tests
# make lint       runs clang-tidy, 8 files at once unless -j says otherwise
# make demo       shows a fleet on loopback during a drain and a replaced VM
# make bench      measures against the stated targets
# make generate   writes the XDR code again (needs rpcgen)

CC = gcc
BUILD = build
PACKAGES = glib-2.0 gio-2.0 gio-unix-2.0 libsodium libtirpc libsoup-3.0 json-glib-1.0 libzstd
CPPFLAGS = -D_GNU_SOURCE -Iinclude -Isrc -I. -Itests
CFLAGS = -O2 -g
# Empty in the deployed build, which must not depend on what another compiler or newer headers warn of.
WERROR = -Werror
WARNINGS = -std=gnu11 -Wall -Wextra $(WERROR)
SANITIZE =
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES))
CHECK_LIBS = $(shell pkg-config --libs check)
ALL_CFLAGS = $(WARNINGS) $(CFLAGS) $(SANITIZE) $(CPPFLAGS) $(PKG_CFLAGS) -MMD -MP
LIBS = $(SANITIZE) $(PKG_LIBS) -lm

LIB_SRC := $(wildcard src/base/*.c src/config/*.c src/gue/*.c src/packet/*.c src/peer/*.c \
  src/balance/*.c src/feed/*.c)
APP_SRC := $(wildcard platform/*.c src/objectstore/*.c src/runtime/*.c src/gued/*.c src/balancer/*.c \
  src/check/*.c src/cli/*.c)
# The play of a task needs the other tasks, too.
FEED_PLAY_SRC := tests/feed_play.c
TEST_LIB_SRC := $(filter-out tests/test_%.c tests/live.c tests/objectstore.c tests/foreign.c $(FEED_PLAY_SRC),\
  $(wildcard tests/*.c))
TEST_SRC := $(wildcard tests/test_*.c)
STANDIN_SRC := tests/live.c tests/objectstore.c tests/foreign.c
SOAK_SRC := $(wildcard tests/soak/*.c)
BENCH_SRC := $(wildcard bench/*.c)

LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
APP_OBJ = $(APP_SRC:%.c=$(BUILD)/%.o)
PLATFORM_OBJ = $(filter $(BUILD)/src/objectstore/% $(BUILD)/platform/%,$(APP_OBJ))
RUNTIME_OBJ = $(filter $(BUILD)/src/runtime/%,$(APP_OBJ))
DAEMON_OBJ = $(filter $(BUILD)/src/gued/% $(BUILD)/src/balancer/%,$(APP_OBJ))
CHECK_OBJ = $(filter $(BUILD)/src/check/%,$(APP_OBJ))
TEST_LIB_OBJ = $(TEST_LIB_SRC:%.c=$(BUILD)/%.o)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/%)
STANDINS = $(STANDIN_SRC:tests/%.c=$(BUILD)/%)

# What another machine, compiler, library version or set of flags has built, as in a folder that was
# copied, is removed, whatever its dates.  The build under sanitizers has a key of its own, and may be in
# progress.
KEY := $(shell $(CC) -dumpmachine; $(CC) --version | head -n 1; pkg-config --modversion $(PACKAGES)) \
  $(CC) $(ALL_CFLAGS) $(LIBS)
ifneq ($(strip $(KEY)),$(strip $(shell cat $(BUILD)/key 2>/dev/null)))
$(shell mkdir -p $(BUILD) && find $(BUILD) -path $(BUILD)/sanitized -prune -o -name '*.[od]' -exec rm -f {} + && \
  rm -f $(BUILD)/cyclamenferry $(TESTS) $(STANDINS) $(BUILD)/measure $(BUILD)/soak)
$(file >$(BUILD)/key,$(KEY))
endif

all: $(BUILD)/cyclamenferry

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c $< -o $@

# Generated code declares variables that it does not use.
$(BUILD)/src/peer/peer_xdr.o $(BUILD)/src/feed/feed_xdr.o: WARNINGS = -std=gnu11

$(BUILD)/cyclamenferry: $(LIB_OBJ) $(APP_OBJ)
	$(CC) $^ $(LIBS) -o $@

$(TESTS): $(BUILD)/%: $(BUILD)/tests/%.o $(TEST_LIB_OBJ) $(PLATFORM_OBJ) $(RUNTIME_OBJ) \
  $(BUILD)/src/balancer/balance_settings.o $(CHECK_OBJ) $(LIB_OBJ)
	$(CC) $^ $(LIBS) $(CHECK_LIBS) -o $@

# These tests run a task of the program, or what tasks share.
FEED_TESTS = $(addprefix $(BUILD)/test_feed_,carry lifetime calls load names parts relay)
$(FEED_TESTS): $(FEED_PLAY_SRC:%.c=$(BUILD)/%.o)
$(FEED_TESTS) \
$(BUILD)/test_connection_reset $(BUILD)/test_platform_task: \
  $(DAEMON_OBJ)

$(STANDINS): $(BUILD)/%: $(BUILD)/tests/%.o $(TEST_LIB_OBJ) $(BUILD)/src/runtime/udp.o $(LIB_OBJ)
	$(CC) $^ $(LIBS) -o $@

$(BUILD)/measure: $(BENCH_SRC:%.c=$(BUILD)/%.o) $(TEST_LIB_OBJ) $(PLATFORM_OBJ) $(LIB_OBJ)
	$(CC) $^ $(LIBS) -o $@

$(BUILD)/soak: $(SOAK_SRC:%.c=$(BUILD)/%.o) $(BUILD)/tests/store.o $(PLATFORM_OBJ) $(LIB_OBJ)
	$(CC) $^ $(LIBS) -o $@

tests: $(BUILD)/cyclamenferry $(TESTS) $(STANDINS) $(BUILD)/soak

# Builds whose tests run, the other ones as they are.
CHECKED = $(BUILD)

check: tests
	tests/run $(CHECKED)

demo: $(BUILD)/cyclamenferry $(STANDINS)
	tests/demo.sh $(BUILD)

bench: $(BUILD)/measure
	$(BUILD)/measure

generate:
	cd src/peer && rm -f peer.h peer_xdr.c && rpcgen -N -M -h -o peer.h peer.x \
	  && rpcgen -N -M -c -o peer_xdr.c peer.x
	cd src/feed && rm -f feed.h feed_xdr.c && rpcgen -N -M -h -o feed.h feed.x \
	  && rpcgen -N -M -c -o feed_xdr.c feed.x

SOURCES := $(filter-out src/peer/peer_xdr.c src/feed/feed_xdr.c,$(wildcard platform/*.c src/*/*.c tests/*.c tests/soak/*.c bench/*.c))
HEADERS := $(filter-out src/peer/peer.h src/feed/feed.h,$(wildcard include/*.h platform/*.h src/*/*.h tests/*.h tests/soak/*.h bench/*.h))

format:
	clang-format -i $(SOURCES) $(HEADERS)

format-check:
	clang-format --dry-run --Werror $(SOURCES) $(HEADERS)

# clang-tidy takes most of the time of CI.  A file is a target, so that -j counts its processes.
LINT = $(SOURCES:%=lint-%)

lint:
	+$(MAKE) $(if $(findstring jobserver,$(MAKEFLAGS)),,-j8) $(LINT)

$(LINT): lint-%: %
	clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) $(PKG_CFLAGS:-I%=-isystem%)

clean:
	rm -rf $(BUILD)

.PHONY: all tests check demo bench generate format format-check lint $(LINT) clean
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
