# camphorlever: make demo runs the main job, make test runs the tests.

GO ?= go
BIN := bin

.PHONY: build test lint fmt vet staticcheck bench measure demo demo-up demo-down

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test -race ./...

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
