# Targets: build, demo, test, lint, fmt, unit, generate, check-generated, measure, soak, soak-edge, soak-race, unseen, fuzz.

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN ?= bin
SOURCES = $(shell git ls-files '*.go' ':!*.pb.go' ':!*.twirp.go')

.PHONY: build demo test lint unit generate check-generated measure soak soak-edge soak-race unseen fuzz fmt

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

# Injects faults for LENGTH seconds per run into deployments generated from the seeds SEED to SEED+SEEDS-1.
SEEDS ?= 10
LENGTH ?= 10
soak-edge:
	SOAK_FIRST=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(LENGTH) \
		$(GO) test -count=1 -timeout 24h ./platform/platformtest -ginkgo.timeout 24h -ginkgo.v -ginkgo.focus 'A fault soak'

# Runs the same with the race detector, in the tests and in the hosts' programs.
soak-race:
	GOFLAGS="$$($(GO) env GOFLAGS) -race" $(MAKE) soak-edge

# Runs deployments of up to HOSTS hosts, generated from the seeds SEED to SEED+SEEDS-1.
HOSTS ?= 8
unseen:
	UNSEEN_FIRST=$(SEED) UNSEEN_SEEDS=$(SEEDS) UNSEEN_HOSTS=$(HOSTS) \
		$(GO) test -count=1 -timeout 24h ./platform/platformtest -ginkgo.timeout 24h -ginkgo.v -ginkgo.focus 'A deployment that nobody has seen'

fuzz:
	scripts/fuzz.sh
