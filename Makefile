# The test command is `make test`; .ci/run adds the formatter, the linter and the check of generated code.
MODULES := . ./cmd/agent ./cmd/bench ./cmd/entry ./cmd/shallotring ./cmd/soak ./cmd/standin
PACKAGES := $(addsuffix /...,$(MODULES))
CROWD := shallotring.dev/daemon/crowd
SEED ?= 1
DURATION ?= 10m
SCHEDULES ?= 1
# SKIP is a pattern of tests that are passed over; .ci/run sets it from KNOWN-RED.txt.
SKIP ?=
# LEAVE_OUT lists kinds of faults, separated by commas, that do not occur.
LEAVE_OUT ?=

.PHONY: build local platform test soak soak-processes bench generate format lint

build:
	go build -o bin/ ./cmd/agent ./cmd/bench ./cmd/entry ./cmd/shallotring ./cmd/soak ./cmd/standin

local:
	go run ./cmd/shallotring local

platform:
	go run ./cmd/shallotring platform

# Four packages at a time: the tests of separate processes start some fifty processes by themselves. No result comes from the cache, which
# does not know the programs that these tests build and run. The tests of crowds measure the memory of processes: they run after the others,
# one at a time, on programs without the race detector.
test:
	go test -race -count=1 -p 4 $(if $(SKIP),-skip '^($(SKIP))$$') $(filter-out $(CROWD),$(shell go list $(PACKAGES)))
	go test -count=1 -p 1 $(if $(SKIP),-skip '^($(SKIP))$$') $(CROWD)

soak:
	go run ./cmd/soak --seed=$(SEED) --duration=$(DURATION) --schedules=$(SCHEDULES) --leave-out=$(LEAVE_OUT)

# Runs the programs of the platform form as separate processes; SEED=0 takes a new seed.
soak-processes: build
	bin/soak processes --seed=$(SEED) --duration=$(DURATION) --events

bench:
	go run ./cmd/bench

generate:
	go generate ./protocol/wire

format:
	gofmt -w $(MODULES)

lint:
	golangci-lint run $(PACKAGES)
