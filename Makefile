.PHONY: build test lint demo clean

# Tests named in the first column of KNOWN-RED.txt are passed over.
KNOWN_RED := $(shell [ -s KNOWN-RED.txt ] && awk -F'|' '!/^\#/ && NF {gsub(/ /, "", $$1); printf "%s^%s$$", sep, $$1; sep="|"}' KNOWN-RED.txt)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

build:
	go build -o bin/ ./cmd/... ./demo ./bench/...

# Package platform/crowd measures the memory of processes and runs apart from the others.
test:
	go test -race -count=1 -timeout 40m $(SKIP) $$(go list ./... | grep -v /platform/crowd$$)
	go test -race -count=1 -timeout 40m $(SKIP) ./platform/crowd

lint:
	@unformatted=$$(go tool gofumpt -l .); if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

demo: build
	bin/demo

clean:
	rm -rf bin bench/out
