# Targets are documented in README.md.
BIN := bin
export CGO_ENABLED := 1

.PHONY: build test demo measure lint fmt bench clean

build:
	go build -o $(BIN)/ ./cmd/... ./internal/standin/cmd/...

# Bounds on ratios and allocations are not compiled in under the race detector. The
# end-to-end specs run programs that the test cache does not know of, so it is off.
test:
	go test -race -count=1 -timeout 10m ./...
	go test -count=1 ./internal/bench/

lint:
	.ci/lint

fmt:
	go tool gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go')

demo: build
	$(BIN)/standin demo --bin $(BIN)

measure: build
	$(BIN)/standin measure --bin $(BIN) --output json > bench/measures.json

bench:
	FULMARHOIST_BENCH_RESULTS=$(CURDIR)/bench/results.json go test -count=1 -v ./internal/bench/ -ginkgo.no-color
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf $(BIN)
