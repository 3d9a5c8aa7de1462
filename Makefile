# Targets: build, test, demo, lint, fmt. `make test` is the whole verdict on the code.
MODULES := core instance operator platform proof
LINT    := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# RENAME changes an identifier and all its uses: $(RENAME) FILE:LINE:COLUMN NEWNAME
RENAME  := go run golang.org/x/tools/gopls@v0.22.0 rename -w

.PHONY: build slopes soak test race vet lint fmt demo

build:
	go build -o bin/comfreyladderd ./instance/cmd/comfreyladderd
	go build -o bin/comfreyladder ./operator/cmd/comfreyladder

test: build
	go vet $(MODULES:%=./%/...)
	.ci/test $(MODULES)

lint:
	set -e; for m in $(MODULES); do (cd $$m && $(LINT) run --allow-parallel-runners --config ../.golangci.yml ./...); done

fmt:
	gofmt -l -w $(MODULES)

demo: build
	bin/comfreyladder demo

# soak plays seeds of the soak of real processes, 12 s of faults each, and keeps the logs
# of a run that fails: make soak SEED=6000 SEEDS=50. Seeds from 6000 on play all kinds of steps
SEED  := 6000
SEEDS := 50
soak: build
	cd proof && go test -race -count=1 -run 'TestSoak$$' -v -timeout 60m ./deployed -soak.seed=$(SEED) -soak.seeds=$(SEEDS)

# slopes repeats the measurements of docs/CAPACITY.md; about 20 minutes, up to
# 252 daemons and 10 GB. One series: make slopes SERIES=requests
SERIES := .
slopes: build
	cd proof && go test -run '^$$' -bench 'Slopes/$(SERIES)' -benchtime 1x -timeout 60m ./capacity
