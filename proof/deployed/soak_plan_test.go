package deployed_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stepKind is a kind of fault or change.
type stepKind string

const (
	stepStop       stepKind = "stop"        // SIGTERM, and a start after the end
	stepKill       stepKind = "kill"        // SIGKILL, and a start
	stepFreeze     stepKind = "freeze"      // SIGSTOP, SIGCONT later
	stepFrozenStop stepKind = "frozen-stop" // SIGTERM, and a freeze in the drain
	stepReload     stepKind = "reload"      // SIGHUP
	stepWipe       stepKind = "wipe"        // SIGKILL, and a start with an empty disk
	stepKillCores  stepKind = "kill-cores"  // SIGKILL to all that hold the control state
	stepKillAll    stepKind = "kill-all"
	stepRunnerGone stepKind = "runner-crash" // and a start under the same ID
	stepRunnerDown stepKind = "runner-drain"
	stepResets     stepKind = "resets"  // connections to a runner are reset
	stepSilence    stepKind = "silence" // connections to a runner go silent, new ones work
	stepForeign    stepKind = "foreign-report"
	stepRevoke     stepKind = "revoke"
	stepInvalid    stepKind = "invalid-config"
)

// soakStep is one fault or change of a run.
type soakStep struct {
	at     time.Duration
	kind   stepKind
	target string
	// delay is from SIGTERM to a freeze, lasts for how long a freeze lasts or a process is
	// down.
	delay, lasts time.Duration
	// back tells how all processes return, nil for other kinds.
	back *comeback
}

// String tells the step in one line.
func (s soakStep) String() string {
	return fmt.Sprintf("%7.3f s  %s %s delay=%v lasts=%v%v", s.at.Seconds(), s.kind, s.target, s.delay, s.lasts, s.back)
}

// soakShape is what a run consists of.
type soakShape struct{ cores, edges, runners []string }

// weight is how often a kind is drawn.
type weight struct {
	kind   stepKind
	weight int
}

var weights = []weight{
	{stepStop, 6}, {stepFrozenStop, 5}, {stepKill, 4}, {stepFreeze, 5}, {stepReload, 1}, {stepWipe, 1}, {stepKillCores, 1},
	{stepKillAll, 1}, {stepRunnerGone, 3}, {stepRunnerDown, 2}, {stepResets, 2}, {stepSilence, 2}, {stepForeign, 2}, {stepRevoke, 3},
	{stepInvalid, 1},
}

// stepsPerSecond is the mean number of steps in a second; a third comes in series close
// together.
const stepsPerSecond = 2.5

// drawSteps draws the steps of a run; the same seed gives the same.
func drawSteps(seed int64, span time.Duration, shape soakShape) []soakStep {
	steps := drawOthers(seed, span, shape)
	if seed >= firstEndless {
		steps = append(steps, drawEndless(seed, span, shape)...)
		slices.SortStableFunc(steps, func(a, b soakStep) int { return cmp.Compare(a.at, b.at) })
	}
	return steps
}

// drawOthers draws all steps but those of stepEndless.
func drawOthers(seed int64, span time.Duration, shape soakShape) []soakStep {
	wiped := false
	steps := drawBase(seed, span, shape, &wiped)
	if seed >= firstReturning {
		steps = append(steps, drawReturns(seed, span, shape, wiped)...)
		if seed >= firstBrittle {
			steps = append(steps, drawBrittle(seed, span, shape)...)
		}
		slices.SortStableFunc(steps, func(a, b soakStep) int { return cmp.Compare(a.at, b.at) })
	}
	return steps
}

// drawBase draws single steps, and sets wiped if a disk is lost.
func drawBase(seed int64, span time.Duration, shape soakShape, wiped *bool) []soakStep {
	rng := rand.New(rand.NewPCG(uint64(seed), 18))
	var bag []stepKind
	all := weights
	if seed >= firstTroubled {
		all = slices.Concat(weights, troubledWeights)
	}
	if seed >= firstAsking {
		all = slices.Concat(all, askingWeights)
	}
	for _, w := range all {
		for range w.weight {
			bag = append(bag, w.kind)
		}
	}
	var steps []soakStep
	at := time.Duration(0)
	for {
		gap := time.Duration(rng.ExpFloat64() / stepsPerSecond * float64(time.Second))
		if rng.IntN(3) == 0 {
			gap = time.Duration(rng.IntN(80)) * time.Millisecond
		}
		if at += gap; at >= span {
			return steps
		}
		s := soakStep{at: at, kind: bag[rng.IntN(len(bag))]}
		if s.kind == stepWipe && *wiped {
			s.kind = stepKill
		}
		*wiped = *wiped || s.kind == stepWipe
		s.draw(rng, shape)
		steps = append(steps, s)
	}
}

func (s *soakStep) draw(rng *rand.Rand, shape soakShape) {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	pick := func(list []string) string { return list[rng.IntN(len(list))] }
	process := pick(shape.edges)
	if rng.IntN(3) == 0 {
		process = pick(shape.cores)
	}
	s.lasts = between(100*time.Millisecond, 1500*time.Millisecond)
	switch s.kind {
	case stepStop, stepKill, stepFreeze, stepReload:
		s.target = process
	case stepFrozenStop:
		s.target = process
		s.delay = between(0, 3*time.Second)
		s.lasts = between(200*time.Millisecond, 2*time.Second)
	case stepWipe:
		s.target = pick(shape.cores)
	case stepRunnerGone, stepRunnerDown, stepResets, stepSilence, stepForeign:
		s.target = pick(shape.runners)
	case stepPoison:
		s.delay = between(0, 3)
		s.lasts = between(2*time.Second, 6*time.Second)
	case stepPause, stepLeave:
		s.target = pick(shape.runners)
		s.delay = between(600*time.Millisecond, 4*time.Second)
		s.lasts = between(3*time.Second, 7*time.Second)
	case stepLimit:
		s.target = pick(shape.runners)
		s.delay = between(0, 6*time.Second)
		s.lasts = between(3*time.Second, 7*time.Second)
	}
}

func countKinds(steps []soakStep) string {
	counts := map[stepKind]int{}
	for _, s := range steps {
		counts[s.kind]++
	}
	var parts []string
	for kind, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", kind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// Guards against runs that a seed does not bring back.
func TestTheSameSeedDrawsTheSameSteps(t *testing.T) {
	RegisterTestingT(t)
	shape := soakShape{cores: []string{"c1", "c2"}, edges: []string{"e1"}, runners: []string{"r1", "r2"}}
	first := drawSteps(7, time.Minute, shape)
	Expect(drawSteps(7, time.Minute, shape)).To(Equal(first))
	Expect(drawSteps(8, time.Minute, shape)).NotTo(Equal(first))
	Expect(slices.IsSortedFunc(first, func(a, b soakStep) int { return int(a.at - b.at) })).To(BeTrue())
}
