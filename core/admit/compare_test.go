package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulation plays callers of one route in virtual time: capacity for 10,000 requests per second (with a tenth, noise hides the peaks), a
// shortage that grows for 3 s, holds for 4 s and ends within 1 s, and instances that know what was offered to
// all until 0.25 s ago. Admitted requests wait in one queue that is served at the capacity.

const (
	objective = 1500 * time.Millisecond
	patience  = 5 * time.Second
	capacity  = 10_000.0
	loadAge   = 250 * time.Millisecond
	loadTau   = 0.75
	played    = 14 * time.Second
	roundTrip = 4 * time.Millisecond
)

// demand returns the new requests per second at a time, as a multiple of the capacity.
func demand(at, peak float64) float64 {
	switch {
	case at < 2:
		return 0.8
	case at < 5:
		return 0.8 + (peak-0.8)*(at-2)/3
	case at < 9:
		return peak
	case at < 10:
		return peak + (0.6-peak)*(at-9)
	}
	return 0.6
}

// way decides on a request at an instance with the given clock.
type way func(rng *rand.Rand, now time.Time, p Position, share float64) (admitted bool, retry time.Duration)

func today(rng *rand.Rand, _ time.Time, _ Position, share float64) (bool, time.Duration) {
	return rng.Float64() < share, 100*time.Millisecond + time.Duration(rng.Float64()*float64(objective/4-100*time.Millisecond))
}

// spread is today's way with retries spread over the longest useful wait.
func spread(rng *rand.Rand, _ time.Time, _ Position, share float64) (bool, time.Duration) {
	return rng.Float64() < share, time.Duration(rng.Float64() * float64(For(objective).useful))
}

func window(_ *rand.Rand, now time.Time, p Position, share float64) (bool, time.Duration) {
	d := For(objective).Decide(now, p, share)
	return d.Admitted, d.Retry
}

// nextPass tells each rejected request when the window passes next, also if it is then late.
func nextPass(_ *rand.Rand, now time.Time, p Position, share float64) (bool, time.Duration) {
	w := For(objective)
	w.useful = patience / 3
	w.period = 3 * w.useful
	d := w.Decide(now, p, share)
	return d.Admitted, d.Retry
}

type try struct {
	at, first time.Duration
	position  Position
	again     bool
}

type tries []try

func (t tries) Len() int           { return len(t) }
func (t tries) Less(i, j int) bool { return t[i].at < t[j].at }
func (t tries) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tries) Push(x any)        { *t = append(*t, x.(try)) }
func (t *tries) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// outcome counts what became of the requests.
type outcome struct {
	asked, tries, inTime, late, refused, returned, returnsAdmitted float64
	// peak is the largest number of retries in 100 ms against their mean while the shortage is steady, and used
	// the share of the capacity that is used in the shortage.
	peak, used float64
}

func simulate(decide way, instances int, peak float64, seed uint64) (o outcome) {
	rng := rand.New(rand.NewPCG(seed, seed))
	origin := time.Unix(1_700_000_000, 0)
	skew := make([]time.Duration, instances)
	for i := range skew {
		skew[i] = time.Duration((rng.Float64() - 0.5) * float64(clockTolerance))
	}
	var queue tries
	for at := 0.0; at < played.Seconds(); at += rng.ExpFloat64() / (capacity * demand(at, peak)) {
		when := time.Duration(at * float64(time.Second))
		heap.Push(&queue, try{at: when, first: when, position: Position(rng.Uint64())})
	}
	o.asked = float64(queue.Len())
	offered, backlog, last, shares := 0.0, 0.0, time.Duration(0), map[int]float64{}
	returns, served := map[int]float64{}, 0.0
	for queue.Len() > 0 {
		r := heap.Pop(&queue).(try)
		passed := (r.at - last).Seconds()
		offered, last = offered*math.Exp(-passed/loadTau)+1, r.at
		backlog = max(0, backlog-passed*capacity)
		slot := int(r.at / (10 * time.Millisecond))
		shares[slot] = min(1, capacity*loadTau/offered)
		share, known := shares[slot-int(loadAge/(10*time.Millisecond))]
		if !known {
			share = 1
		}
		o.tries++
		admitted, retry := true, time.Duration(0)
		if share < 1 {
			admitted, retry = decide(rng, origin.Add(r.at+skew[rng.IntN(instances)]), r.position, share)
		}
		if r.again {
			o.returned++
			returns[int(r.at/(100*time.Millisecond))]++
		}
		left := patience - (r.at - r.first)
		switch {
		case admitted:
			if r.again {
				o.returnsAdmitted++
			}
			backlog++
			if r.at > 5*time.Second && r.at < 9*time.Second {
				served++
			}
			if done := r.at - r.first + time.Duration(backlog/capacity*float64(time.Second)); done <= objective-200*time.Millisecond {
				o.inTime++
			} else {
				o.late++
			}
		case !r.again && retry <= left/3:
			heap.Push(&queue, try{at: r.at + retry + roundTrip, first: r.first, position: r.position, again: true})
		default:
			o.refused++
		}
	}
	o.used = served / (capacity * 4)
	sum, most := 0.0, 0.0
	for i := 65; i < 90; i++ {
		sum, most = sum+returns[i], max(most, returns[i])
	}
	o.peak = most / (sum / 25)
	return o
}

// Guards against a Retry-After that does not hold: a retry is rejected as often as a new request, so
// that each request that ends refused was rejected twice and more. The figures of all ways are logged.
func TestRetriesAreAdmittedWhenTheyWereTold(t *testing.T) {
	g := NewWithT(t)
	for _, peak := range []float64{1.3, 2} {
		for _, instances := range []int{2, 88} {
			var was outcome
			for _, w := range []struct {
				name   string
				decide way
			}{{"today", today}, {"spread", spread}, {"nextPass", nextPass}, {"window", window}} {
				o := simulate(w.decide, instances, peak, 1)
				t.Logf("peak %.1f, %2d instances, %-8s: in time %.3f, late %.3f, refused %.3f, tries %.3f, returns %4.0f admitted %.3f, peak of returns %.2f, used %.3f",
					peak, instances, w.name, o.inTime/o.asked, o.late/o.asked, o.refused/o.asked, o.tries/o.asked, o.returned, o.returnsAdmitted/max(1, o.returned), o.peak, o.used)
				if w.name == "today" {
					was = o
				}
				if w.name != "window" {
					continue
				}
				g.Expect(o.returnsAdmitted / o.returned).To(BeNumerically(">=", 0.9))
				g.Expect(o.peak).To(BeNumerically("<=", 1.5))
				g.Expect(o.inTime + o.late).To(BeNumerically(">=", 0.95*(was.inTime+was.late)))
				g.Expect(o.inTime).To(BeNumerically(">=", 0.98*was.inTime))
				g.Expect(o.tries).To(BeNumerically("<", was.tries))
			}
		}
	}
}

// Guards against instances that reject a retry because their clocks differ, or because their shares do.
func TestPromisesHoldAtInstancesWithOtherClocks(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1_700_000_000, 0)
	promises := 0
	for _, objective := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		w := For(objective)
		for range 5000 {
			now, p, share := start.Add(time.Duration(rng.Int64N(int64(time.Hour)))), Position(rng.Uint64()), 0.1+0.9*rng.Float64()
			skew := time.Duration((2*rng.Float64() - 1) * float64(clockTolerance-time.Millisecond))
			if d := w.Decide(now, p, share); !d.Admitted {
				if d.Promised {
					promises++
				}
				g.Expect(w.Decide(now.Add(d.Retry+skew), p, share*0.9).Admitted).To(BeTrue())
			}
			excess := time.Duration(rng.Int64N(int64(time.Second)))
			wait := w.NextTurn(now, p, excess)
			g.Expect(wait).To(And(BeNumerically(">=", excess), BeNumerically("<=", excess+w.useful+clockTolerance)))
			g.Expect(w.inTurn(now.Add(wait+skew), p)).To(Equal(objective >= time.Second))
		}
	}
	g.Expect(promises).To(BeNumerically(">", 500))
}

// Guards against requests that differ but have one position, so that one would be admitted for another.
func TestPositionDependsOnAllParts(t *testing.T) {
	g := NewWithT(t)
	of := func(organisation, target, body string) Position {
		return PositionOf(organisation, []byte(target), []byte(body))
	}
	g.Expect(of("a", "/x", "body")).To(Equal(of("a", "/x", "body")))
	g.Expect(of("a", "/x", "body")).NotTo(Or(Equal(of("b", "/x", "body")), Equal(of("a", "/y", "body")), Equal(of("a/", "x", "body")), Equal(of("a", "/xb", "ody"))))
}
