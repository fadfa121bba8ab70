# Entry points. Each target installs what it needs and builds with meson.
BUILD ?= build
PACKAGES = gcc meson ninja-build pkg-config clang-format clang-tidy \
  libglib2.0-dev libsoup-3.0-dev libjson-glib-dev libyaml-dev libtirpc-dev \
  libxxhash-dev libgsl-dev

.PHONY: all setup build demo check check-sanitize bench format rpc

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
	@sh bench/bench.sh $(BUILD)

format:
	@clang-format -i $$(ls src/*.[ch] tests/*.[ch] bench/*.[ch] examples/*.c 2>/dev/null | grep -v hf-rpc)

# Regenerates the committed XDR code from src/hf-rpc.x.
rpc:
	cd src && rm -f hf-rpc.h hf-rpc.c && rpcgen -h -N -o hf-rpc.h hf-rpc.x && rpcgen -c -N -o hf-rpc.c hf-rpc.x
	sed -i 's/_HF-RPC_H_RPCGEN/_HF_RPC_H_RPCGEN/' src/hf-rpc.h
