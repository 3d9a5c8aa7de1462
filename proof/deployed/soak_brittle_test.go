package deployed_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// Steps of stepBrittle let an upstream say that it is brittle for a while: it turns away what exceeds its
	// slots, and ends when it has to do so too often in a second.
	stepBrittle stepKind = "brittle"

	// firstBrittle is the first seed with these steps; it leaves the other steps as they would be without them.
	firstBrittle = 6000
	// brittleEvery is the mean time between two of them.
	brittleEvery                    = 4 * time.Second
	shortestBrittle, longestBrittle = 2 * time.Second, 5 * time.Second
	// brittleSlots is how many requests such an upstream runs at once, and brittleBears how many it turns away in
	// a second before it ends.
	brittleSlots, brittleBears = 2, 4
)

// drawBrittle draws steps of brittle upstreams.
func drawBrittle(seed int64, span time.Duration, shape soakShape) []soakStep {
	rng := rand.New(rand.NewPCG(uint64(seed), 59))
	var steps []soakStep
	for at := time.Duration(0); ; {
		if at += time.Duration(rng.ExpFloat64() * float64(brittleEvery)); at >= span {
			return steps
		}
		lasts := shortestBrittle + time.Duration(rng.Int64N(int64(longestBrittle-shortestBrittle)))
		steps = append(steps, soakStep{at: at, kind: stepBrittle, target: shape.runners[rng.IntN(len(shape.runners))], lasts: lasts})
	}
}

// brittleness is the state of a brittle life of a runner.
type brittleness struct {
	mu      sync.Mutex
	running int
	turned  []time.Time
}

// turnsBrittle makes the present life of the runner brittle for a while.
func (r *soakRunner) turnsBrittle(s soakStep) {
	life := r.current()
	if !life.brittle.CompareAndSwap(nil, &brittleness{}) {
		return
	}
	time.Sleep(s.lasts)
	life.brittle.Store(nil)
}

// admit takes a request or turns it away, which may end the runner.
func (b *brittleness) admit(r *soakRunner, out http.ResponseWriter, attempt string) (done func(), taken bool) {
	if b == nil {
		return func() {}, true
	}
	out.Header().Set("Server-Brittle", strconv.Itoa(brittleBears))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < brittleSlots {
		b.running++
		return func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.running--
		}, true
	}
	now := time.Now()
	b.turned = append(slices.DeleteFunc(b.turned, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if len(b.turned) > brittleBears {
		go r.crashAndReturn(rand.N(longestDown))
	}
	out.Header().Set("Attempt-Id", attempt)
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return nil, false
}

// Guards against seeds whose other steps change, or that draw no brittle upstream.
func TestBrittleStepsLeaveTheOthersAsTheyWere(t *testing.T) {
	g := NewWithT(t)
	shape := soakShape{cores: []string{"c1", "c2"}, edges: []string{"e1"}, runners: []string{"r1", "r2"}}
	isBrittle := func(s soakStep) bool { return s.kind == stepBrittle }
	for _, seed := range []int64{firstBrittle - 1, firstBrittle} {
		steps := drawSteps(seed, time.Minute, shape)
		g.Expect(slices.ContainsFunc(steps, isBrittle)).To(Equal(seed >= firstBrittle))
		wiped := false
		others := append(drawBase(seed, time.Minute, shape, &wiped), drawReturns(seed, time.Minute, shape, wiped)...)
		g.Expect(slices.DeleteFunc(steps, isBrittle)).To(ConsistOf(others))
	}
}
