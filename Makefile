# Targets: demo, test, lint, generate, measure, soak, soak-edge, unseen, fuzz, build.

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN ?= bin
SOURCES = $(shell git ls-files '*.go' ':!*.pb.go' ':!*.twirp.go')

.PHONY: build demo test lint unit generate check-generated measure soak soak-edge unseen fuzz fmt

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

# Faults for LENGTH seconds each on the users' path, on deployments drawn from SEEDS seeds from SEED on.
SEEDS ?= 10
LENGTH ?= 10
soak-edge:
	SOAK_FIRST=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(LENGTH) \
		$(GO) test -count=1 -timeout 24h ./platform/platformtest -ginkgo.timeout 24h -ginkgo.v -ginkgo.focus 'A fault soak'

# Deployments of up to HOSTS hosts, drawn from SEEDS seeds from SEED on.
HOSTS ?= 8
unseen:
	UNSEEN_FIRST=$(SEED) UNSEEN_SEEDS=$(SEEDS) UNSEEN_HOSTS=$(HOSTS) \
		$(GO) test -count=1 -timeout 24h ./platform/platformtest -ginkgo.timeout 24h -ginkgo.v -ginkgo.focus 'A deployment that nobody has seen'

fuzz:
	scripts/fuzz.sh
