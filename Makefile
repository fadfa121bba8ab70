# Targets for development. Each installs the packages that it needs and builds with meson.
BUILD ?= build
PACKAGES = gcc meson ninja-build pkg-config clang-format clang-tidy \
  libglib2.0-dev libsoup-3.0-dev libjson-glib-dev libyaml-dev libtirpc-dev \
  libxxhash-dev libgsl-dev libhttp-parser-dev

.PHONY: all setup build demo check check-sanitize bench soak explore fuzz format rpc

all: build

setup:
	@sh tests/setup.sh $(PACKAGES)

build: setup
	@test -d $(BUILD) || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) --quiet

demo: build
	@$(BUILD)/hf-demo

check: build
	@sh tests/check.sh $(BUILD)

check-sanitize: setup
	@test -d $(BUILD)-san || meson setup $(BUILD)-san -Db_sanitize=address,undefined -Db_lundef=false >/dev/null
	@ninja -C $(BUILD)-san --quiet
	@HF_SKIP_LINT=1 sh tests/check.sh $(BUILD)-san

bench: build
	@sh tests/setup.sh gnuplot-nox
	@sh bench/bench.sh $(BUILD)

# Soak test: injects faults into real processes, with SEEDS seeds from SEED on, SOAK_JOBS of them at a time.
SEEDS ?= 10
SEED ?= 1
SOAK_JOBS ?= 4
soak: build
	@sh soak/soak.sh $(BUILD) $(SEEDS) $(SEED) $(SOAK_JOBS)

# Searches all orders of events of one request, DEPTH events after it, for a broken invariant.
DEPTH ?= 6
explore: build
	@$(BUILD)/hf-explore --depth=$(DEPTH)

format:
	@clang-format -i $$(ls src/*.[ch] platform/*.[ch] tests/*.[ch] bench/*.[ch] soak/*.[ch] examples/*.c 2>/dev/null | grep -v hf-rpc)

# Regenerates src/hf-rpc.h and src/hf-rpc.c, which are committed, from src/hf-rpc.x.
rpc:
	cd src && rm -f hf-rpc.h hf-rpc.c && rpcgen -h -N -o hf-rpc.h hf-rpc.x && rpcgen -c -N -o hf-rpc.c hf-rpc.x
	sed -i 's/_HF-RPC_H_RPCGEN/_HF_RPC_H_RPCGEN/' src/hf-rpc.h

# Fuzzes the decoders for FUZZ_SECONDS. An input that fails is written to build-fuzz/crash-*.
FUZZ_SECONDS ?= 60
fuzz: setup
	@sh tests/setup.sh clang libclang-rt-14-dev
	@mkdir -p build-fuzz/corpus && cp tests/corpus/* build-fuzz/corpus/
	@clang -g -O1 -fsanitize=fuzzer,address,undefined -Isrc -Iplatform -o build-fuzz/fuzz tests/fuzz.c tests/naive-response.c tests/response-reader.c \
	  src/hf-base.c src/hf-document.c src/hf-document-pack.c src/hf-fields-xdr.c src/hf-header-codec.c src/hf-http-head.c src/hf-http-parser.c src/hf-json.c src/hf-objects.c src/hf-organisations.c src/hf-rpc.c src/hf-settings.c src/hf-wire.c src/hf-http-chunks.c src/hf-http-syntax.c \
	  src/hf-yaml.c platform/hf-adapter-headers.c platform/hf-store-objects.c -lhttp_parser \
	  $$(pkg-config --cflags --libs glib-2.0 gio-2.0 json-glib-1.0 libsoup-3.0 yaml-0.1 libtirpc libxxhash)
	@cd build-fuzz && ASAN_OPTIONS=detect_leaks=1 ./fuzz -max_total_time=$(FUZZ_SECONDS) -max_len=4096 \
	  -rss_limit_mb=2048 -print_final_stats=1 corpus 2>&1 | tail -12
