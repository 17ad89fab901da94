# Targets: demo, test, lint, generate, measure, soak, fuzz, build.

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN ?= bin
SOURCES = $(shell git ls-files '*.go' ':!*.pb.go' ':!*.twirp.go')

.PHONY: build demo test lint unit generate check-generated measure soak fuzz fmt

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo:
	scripts/demo.sh

test: lint check-generated unit

lint:
	@unformatted=$$($(TOOL) gofumpt -l $(SOURCES)); \
	if [ -n "$$unformatted" ]; then echo "run 'make fmt' for: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	scripts/wire-names.sh

fmt:
	$(TOOL) gofumpt -w $(SOURCES)

unit:
	scripts/unit.sh

generate:
	$(TOOL) buf generate
	sha256sum api/v1/*.proto api/peer/v1/*.proto api/fleet/v1/*.proto > api/SHA256SUMS

check-generated:
	@sha256sum --quiet -c api/SHA256SUMS || { echo "the schema changed; run 'make generate' and commit"; exit 1; }

measure:
	scripts/measure.sh

SEED ?= 1
DURATION ?= 10m
soak:
	scripts/soak.sh $(SEED) $(DURATION)

fuzz:
	scripts/fuzz.sh
