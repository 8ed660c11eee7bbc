# Targets for developers. .ci/run calls build, lint and test.
MODULES := core platform gateway entry operator keystore upstreams bench
GO ?= go
export CGO_ENABLED := 1

.PHONY: build test lint fmt generate quickstart site

build:
	@mkdir -p bin
	@for m in gateway entry operator keystore upstreams bench; do \
		if ls $$m/*.go >/dev/null 2>&1; then $(GO) build -o bin/$$m ./$$m || exit 1; fi; \
	done

test:
	@bash scripts/test.sh $(MODULES)

lint:
	@bash scripts/lint.sh $(MODULES)

fmt:
	@gofmt -w $(MODULES)

generate:
	@for m in $(MODULES); do (cd $$m && $(GO) generate ./...) || exit 1; done

quickstart: build
	@bash scripts/quickstart.sh

# Runs a day, a scenario of the users' simulator fleetbench, at a site. fleetbench is not part of this repository.
# Usage: make site SITE=maomao-slots-large DAY=quiet-1
BENCH ?= ../given/kit/more/system
FLEETBENCH ?= $(BENCH)/more/bench-d17393/bin/fleetbench
site:
	@if [ ! -x $(FLEETBENCH) ]; then echo "$(FLEETBENCH) is missing; set BENCH or FLEETBENCH"; exit 0; fi; \
	file=$$(ls $(BENCH)/*/$(SITE).toml) && $(FLEETBENCH) run $$file $(DAY) --why "make site"
