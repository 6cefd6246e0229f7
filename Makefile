# Main targets: `make demo` runs a whole fleet on loopback, `make test` runs all tests.
GO ?= go
BIN := bin

.PHONY: build demo demo-freeze soak test bench bench-quick prove lint clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./demo/run.sh $(BIN)

# Runs the demo with a router that is paused and resumed instead of killed.
demo-freeze: build
	./demo/run.sh $(BIN) freeze

# Runs the fault soak with ten new seeds, derived from the time; see docs/SOAK.md.
soak: build
	$(BIN)/aspenswitch-soak --daemon $(BIN)/aspenswitchd --first $$(date +%s) --seeds 10

test:
	$(GO) test -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	$(BIN)/aspenswitch-load bench --bounds bench/bounds.json --out out

bench-quick: build
	$(BIN)/aspenswitch-load bench --quick --bounds bench/bounds.json --out out

prove:
	$(GO) run ./prove

clean:
	rm -rf $(BIN)
