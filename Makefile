# Targets are documented in README.md.
BIN := bin
export CGO_ENABLED := 1

.PHONY: build test demo lint fmt bench clean

build:
	go build -o $(BIN)/ ./cmd/... ./internal/standin/cmd/...

test:
	go test -race -timeout 10m ./...

lint:
	.ci/lint

fmt:
	go tool gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go')

demo: build
	$(BIN)/standin demo --bin $(BIN)

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf $(BIN)
