package timebase_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/timebase"
)

// group is a set of instances that exchange readings; now is the true time.
type group struct {
	now           time.Time
	clocks        []*timebase.Clock
	wallOffsets   []time.Duration
	steadyOffsets []time.Duration
}

func newGroup(n int) *group {
	g := &group{now: time.Unix(1_790_000_000, 0), wallOffsets: make([]time.Duration, n), steadyOffsets: make([]time.Duration, n)}
	for i := range n {
		g.steadyOffsets[i] = time.Duration(i) * 37 * time.Second
		g.clocks = append(g.clocks, g.start(i))
	}
	return g
}

func (g *group) start(i int) *timebase.Clock {
	return timebase.New(func() time.Time { return g.now.Add(g.wallOffsets[i]) })
}

// steadyTime returns the steady clock of instance i.
func (g *group) steadyTime(i int) time.Time {
	return time.Unix(0, 0).Add(g.now.Sub(time.Unix(1_790_000_000, 0)) + g.steadyOffsets[i])
}

// run advances the time; each instance receives the readings of all others with a delay of
// a few ms.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		for i, c := range g.clocks {
			for j, other := range g.clocks {
				if i != j {
					r := other.Reading(g.steadyTime(j))
					c.Observe(g.steadyTime(i).Add(time.Duration(1+(i+j)%5)*time.Millisecond), fmt.Sprint(j), r)
				}
			}
		}
	}
}

// agreedError returns the error of the agreed time of instance i.
func (g *group) agreedError(i int) time.Duration { return g.clocks[i].Now(g.steadyTime(i)).Sub(g.now) }

// The wall clocks of two of six instances jump ahead by two seconds and later back, and one
// of the two restarts meanwhile. If that showed, usage reports would count requests in
// other time windows on these instances than on the rest.
func TestStepsOfAMinorityDoNotShow(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.run(10 * time.Second)
	w.wallOffsets[1], w.wallOffsets[4] = 2*time.Second, 2*time.Second
	w.run(3 * time.Second)
	w.clocks[4] = w.start(4)
	w.run(3 * time.Second)
	w.wallOffsets[1], w.wallOffsets[4] = -time.Second, 0
	w.run(3 * time.Second)
	for i := range w.clocks {
		g.Expect(w.agreedError(i)).To(BeNumerically("~", 0, 15*time.Millisecond), "instance %d", i)
	}
}

// Four of six wall clocks jump by three seconds for eight: the agreed time continues by the
// steady clocks.
func TestStepsOfMostClocksForSecondsDoNotShow(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.run(10 * time.Second)
	for i := range 4 {
		w.wallOffsets[i] = 3 * time.Second
	}
	w.run(8 * time.Second)
	for i := range w.clocks {
		g.Expect(w.agreedError(i)).To(BeNumerically("~", 0, 20*time.Millisecond), "instance %d", i)
	}
}

// All instances restart while two of six wall clocks are wrong.
func TestAMinorityIsOutvotedAtTheStart(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.wallOffsets[0], w.wallOffsets[3] = 2*time.Second, -2*time.Second
	w.run(200 * time.Millisecond)
	for i := range w.clocks {
		g.Expect(w.agreedError(i)).To(BeNumerically("~", 0, 15*time.Millisecond), "instance %d", i)
	}
}

func TestOneInstanceAloneGoesByItsOwnClock(t *testing.T) {
	w := newGroup(1)
	w.run(5 * time.Second)
	NewWithT(t).Expect(w.agreedError(0)).To(BeZero())
}

// A wrong agreed time, as after a start with most clocks wrong, is corrected by slewing.
func TestAWrongAgreementHeals(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(3)
	w.wallOffsets[0], w.wallOffsets[1] = 200*time.Millisecond, 200*time.Millisecond
	w.run(5 * time.Second)
	g.Expect(w.agreedError(2)).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	w.wallOffsets[0], w.wallOffsets[1] = 0, 0
	w.run(200 * time.Second)
	g.Expect(w.agreedError(2)).To(BeNumerically("~", 0, 20*time.Millisecond))
}

// Guards against an instance that starts and adopts the wall clocks instead of the agreed
// time.
func TestANewcomerTakesOverWhatIsAgreed(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(3)
	w.wallOffsets = []time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}
	w.run(5 * time.Second)
	w.wallOffsets = make([]time.Duration, 3)
	w.clocks[2] = w.start(2)
	w.run(300 * time.Millisecond)
	g.Expect(w.agreedError(2)).To(BeNumerically("~", w.agreedError(0), 20*time.Millisecond))
	g.Expect(w.agreedError(2)).To(BeNumerically(">", 150*time.Millisecond))
}

// observeTwo makes a clock observe readings of two other instances whose wall clocks are
// off, each with a delay.
func observeTwo(c *timebase.Clock, now time.Time, wall time.Time, off, took time.Duration) {
	for _, name := range []string{"a", "b"} {
		c.Observe(now.Add(took), name, timebase.Reading{Wall: wall.Add(off), Agreed: wall})
	}
}

// Guards against delayed readings being taken for clocks that are behind.
func TestADelayedReadingIsNoClockThatIsBehind(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall.Add(time.Second) })
	observeTwo(c, now, wall, 0, time.Millisecond)
	observeTwo(c, now, wall, 0, 300*time.Millisecond)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// Guards against steps of a clock being taken for delays.
func TestAStepBackIsNoDelay(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall })
	observeTwo(c, now, wall, 2*time.Second, time.Millisecond)
	observeTwo(c, now, wall, 0, time.Millisecond)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// Guards against settling on the time of the first instances heard, some of which are
// wrong.
func TestTheFirstReadingsDoNotSettle(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall })
	c.Observe(now, "a", timebase.Reading{Wall: wall.Add(2 * time.Second)})
	c.Observe(now, "b", timebase.Reading{Wall: wall.Add(2 * time.Second)})
	c.Now(now)
	now, wall = now.Add(time.Second), wall.Add(time.Second)
	for _, name := range []string{"c", "d", "e"} {
		c.Observe(now, name, timebase.Reading{Wall: wall})
	}
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// Guards against instances that have ended but still count in the median.
func TestInstancesThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall })
	observeTwo(c, now, wall, 400*time.Millisecond, time.Millisecond)
	now, wall = now.Add(40*time.Second), wall.Add(40*time.Second)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// A follower's error is at most half of the network round trip of its latest request,
// however long the request was held.
func TestAFollowerIsWithinHalfARoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f timebase.Follower
		steady := time.Unix(500, 0)
		agreed := time.Unix(1_790_000_000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			there := time.Duration(rapid.IntRange(0, 200).Draw(t, "there")) * time.Millisecond
			back := time.Duration(rapid.IntRange(0, 200).Draw(t, "back")) * time.Millisecond
			held := time.Duration(rapid.IntRange(0, 250).Draw(t, "held")) * time.Millisecond
			sent := steady
			steady = steady.Add(there + held)
			agreed = agreed.Add(there + held)
			read := agreed
			steady, agreed = steady.Add(back), agreed.Add(back)
			f.Observe(sent, steady, held, read)
			now, known := f.Now(steady)
			if off := now.Sub(agreed).Abs(); !known || off > (there+back)/2 {
				t.Fatalf("off by %v with a round trip of %v", off, there+back)
			}
		}
	})
}
