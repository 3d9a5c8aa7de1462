package deployed_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	soakSeed   = flag.Int64("soak.seed", 0, "the seed of a soak; zero plays those of a usual test run")
	soakSeeds  = flag.Int("soak.seeds", 1, "how many seeds to play, from soak.seed on")
	soakFor    = flag.Duration("soak.for", 12*time.Second, "for how long faults come in each run")
	soakCores  = flag.Int("soak.cores", 3, "instances that hold the control state")
	soakEdges  = flag.Int("soak.edges", 4, "instances that forward requests")
	soakAtOnce = flag.Int("soak.at-once", 2, "how many seeds to play at the same time")
	soakLogs   = flag.String("soak.logs", "", "folder for the logs of all runs; those of a failed one are kept in a temporary one besides")
)

// usualSeeds are played by each test run, besides those that once showed a fault.
var usualSeeds = []int64{1, 2, 4000}

// TestSoak runs real processes under faults that a seed draws, beside callers, operators
// and runners, and checks what they are promised.
func TestSoak(t *testing.T) {
	seeds := append(append([]int64(nil), usualSeeds...), faultySeeds...)
	if *soakSeed != 0 {
		seeds = nil
		for i := range *soakSeeds {
			seeds = append(seeds, *soakSeed+int64(i))
		}
	}
	places := make(chan struct{}, *soakAtOnce)
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			soak(t, seed)
		})
	}
}

// faultySeeds once showed a fault: each has a line on its cause in docs/PROOFS.md.
var faultySeeds = []int64{100, 1018, 2006, 2021, 3000, 3001, 3009, 4112, 5004, 7012}

// settleWithin is the time after the last fault in which all must serve again.
const settleWithin = 12 * time.Second

func soak(t *testing.T, seed int64) {
	w := newSoakWorld(t, seed, *soakCores, *soakEdges)
	steps := drawSteps(seed, *soakFor, w.shape())
	w.start()
	stopLoad := w.startLoad()
	w.play(steps)
	w.recover()
	stopLoad()
	w.stopAll()
	w.judge()
	t.Logf("seed %d: %s; %s, %d limits kept; %d starts from a snapshot; the machine hung %d times; steps: %s", seed, w.ledger.summary(), w.poisons.summary(), w.limits.Load(), w.fromSnapshots(), w.machine.count(), countKinds(steps))
	if *soakLogs != "" {
		t.Logf("logs in %s", w.keepLogs(*soakLogs))
	}
	if !w.ledger.clean() {
		t.Errorf("seed %d: %s\nsteps:\n%s", seed, w.ledger.report(), describe(steps))
	}
}

// keepLogs writes what all processes printed to files.
func describe(steps []soakStep) string {
	lines := make([]string, len(steps))
	for i, s := range steps {
		lines[i] = s.String()
	}
	return strings.Join(lines, "\n")
}
