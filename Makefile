GO ?= go
BIN := bin

.PHONY: all build test check demo measure capacity soak proto clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Formatter, vet and linter. staticcheck is pinned as a Go tool in go.mod.
check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The tests of the daemons take up to nine minutes on a busy machine, near the default timeout of ten.
test:
	$(GO) test -timeout 20m ./...

# Starts the stand-ins and two proxies as separate processes on loopback.
demo: build
	$(BIN)/standin demo --bin $(BIN)

# Regenerates the committed protobuf code. Needs protoc.
proto:
	./api/generate.sh

clean:
	rm -rf $(BIN)

# Runs the measurements on virtual time; writes docs/measurements.md and plots.
measure: build
	$(BIN)/standin measure --out docs

# Prints the slopes of docs/CAPACITY.md as JSON.
capacity: build
	$(BIN)/standin capacity

# Long random runs of the property tests and the fuzzer, not part of CI. SEED, SEEDS
# and CHECKS may be set.
SEED ?= 1
CHECKS ?= 3000
SEEDS ?= 50
soak:
	$(GO) test ./internal/model -run TestRandomFailures -rapid.seed=$(SEED) -rapid.checks=$(CHECKS) -timeout 60m
	$(GO) test ./core/membership -run TestMainProperty -rapid.seed=$(SEED) -rapid.checks=$(CHECKS) -timeout 60m
	$(GO) test ./internal/managed -run TestRandomFailures -random.seed=$(SEED) -random.seeds=$(SEEDS) -timeout 60m
	$(GO) test ./internal/managed -run 'TestSoak$$' -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -timeout 60m
	$(GO) test ./internal/managed -run TestServesWithoutALogReader -blocked.time=60s
	$(GO) test ./platform -run XXX -fuzz FuzzCallerMessage -fuzztime 60s
