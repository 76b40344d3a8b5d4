# camphorlever: make demo runs the main job, make test runs the tests.

GO ?= go
BIN := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build deploy test lint fmt vet staticcheck bench measure demo demo-up demo-down

build:
	$(GO) build -ldflags '-X main.version=$(VERSION)' -o $(BIN)/ ./cmd/...

# Builds what runs on the users' platform, as deploy/system.toml says.
deploy:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

test:
	GO=$(GO) scripts/test.sh

lint: fmt vet staticcheck

fmt:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

staticcheck:
	$(GO) tool staticcheck ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

measure: build
	$(BIN)/camphor-measure
	scripts/measure.sh

demo: build
	scripts/demo.sh

demo-up: build
	scripts/demo.sh up

demo-down:
	scripts/demo.sh down
