package timebase_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/timebase"
)

// group is some machines that hear each other; true is the true time.
type group struct {
	now    time.Time
	clocks []*timebase.Clock
	steps  []time.Duration
	steady []time.Duration
}

func newGroup(n int) *group {
	g := &group{now: time.Unix(1_790_000_000, 0), steps: make([]time.Duration, n), steady: make([]time.Duration, n)}
	for i := range n {
		g.steady[i] = time.Duration(i) * 37 * time.Second
		g.clocks = append(g.clocks, g.start(i))
	}
	return g
}

func (g *group) start(i int) *timebase.Clock {
	return timebase.New(func() time.Time { return g.now.Add(g.steps[i]) })
}

// at is machine i's steady clock.
func (g *group) at(i int) time.Time {
	return time.Unix(0, 0).Add(g.now.Sub(time.Unix(1_790_000_000, 0)) + g.steady[i])
}

// run lets time pass; each machine hears each other one, by a delay of some ms.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		for i, c := range g.clocks {
			for j, other := range g.clocks {
				if i != j {
					r := other.Reading(g.at(j))
					c.Observe(g.at(i).Add(time.Duration(1+(i+j)%5)*time.Millisecond), fmt.Sprint(j), r)
				}
			}
		}
	}
}

// off is by how much machine i's agreed time is off.
func (g *group) off(i int) time.Duration { return g.clocks[i].Now(g.at(i)).Sub(g.now) }

// The time of day of two of six machines jumps ahead by two seconds, back later, and one of
// them starts anew meanwhile. A bill would count requests of that time in another window at
// these machines than at the others.
func TestStepsOfAMinorityDoNotShow(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.run(10 * time.Second)
	w.steps[1], w.steps[4] = 2*time.Second, 2*time.Second
	w.run(3 * time.Second)
	w.clocks[4] = w.start(4)
	w.run(3 * time.Second)
	w.steps[1], w.steps[4] = -time.Second, 0
	w.run(3 * time.Second)
	for i := range w.clocks {
		g.Expect(w.off(i)).To(BeNumerically("~", 0, 15*time.Millisecond), "machine %d", i)
	}
}

// Four of six clocks jump by seconds and back after some: what was agreed on goes on by the
// steady clocks.
func TestStepsOfMostClocksForSecondsDoNotShow(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.run(10 * time.Second)
	for i := range 4 {
		w.steps[i] = 3 * time.Second
	}
	w.run(8 * time.Second)
	for i := range w.clocks {
		g.Expect(w.off(i)).To(BeNumerically("~", 0, 20*time.Millisecond), "machine %d", i)
	}
}

// All machines start anew while two of six clocks are wrong.
func TestAMinorityIsOutvotedAtTheStart(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(6)
	w.steps[0], w.steps[3] = 2*time.Second, -2*time.Second
	w.run(200 * time.Millisecond)
	for i := range w.clocks {
		g.Expect(w.off(i)).To(BeNumerically("~", 0, 15*time.Millisecond), "machine %d", i)
	}
}

func TestOneMachineAloneGoesByItsOwnClock(t *testing.T) {
	w := newGroup(1)
	w.run(5 * time.Second)
	NewWithT(t).Expect(w.off(0)).To(BeZero())
}

// A wrong agreement, as after a start with most clocks wrong, heals by slewing.
func TestAWrongAgreementHeals(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(3)
	w.steps[0], w.steps[1] = 200*time.Millisecond, 200*time.Millisecond
	w.run(5 * time.Second)
	g.Expect(w.off(2)).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	w.steps[0], w.steps[1] = 0, 0
	w.run(200 * time.Second)
	g.Expect(w.off(2)).To(BeNumerically("~", 0, 20*time.Millisecond))
}

// Guards against a machine that starts and goes by clocks that the others have left behind.
func TestANewcomerTakesOverWhatIsAgreed(t *testing.T) {
	g := NewWithT(t)
	w := newGroup(3)
	w.steps = []time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}
	w.run(5 * time.Second)
	w.steps = make([]time.Duration, 3)
	w.clocks[2] = w.start(2)
	w.run(300 * time.Millisecond)
	g.Expect(w.off(2)).To(BeNumerically("~", w.off(0), 20*time.Millisecond))
	g.Expect(w.off(2)).To(BeNumerically(">", 150*time.Millisecond))
}

// tell lets a clock hear two others whose times of day are off, by readings that took a
// while.
func tell(c *timebase.Clock, now time.Time, wall time.Time, off, took time.Duration) {
	for _, name := range []string{"a", "b"} {
		c.Observe(now.Add(took), name, timebase.Reading{Wall: wall.Add(off), Agreed: wall})
	}
}

// Guards against readings on a slow way that are taken for clocks behind the others.
func TestADelayedReadingIsNoClockThatIsBehind(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall.Add(time.Second) })
	tell(c, now, wall, 0, time.Millisecond)
	tell(c, now, wall, 0, 300*time.Millisecond)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// Guards against steps of clocks that are taken for delays.
func TestAStepBackIsNoDelay(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall })
	tell(c, now, wall, 2*time.Second, time.Millisecond)
	tell(c, now, wall, 0, time.Millisecond)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// Guards against a time that is agreed on by the first two machines, one of them wrong.
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

// Guards against machines that are gone and still have a voice.
func TestMachinesThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now, wall := time.Unix(100, 0), time.Unix(1_790_000_000, 0)
	c := timebase.New(func() time.Time { return wall })
	tell(c, now, wall, 400*time.Millisecond, time.Millisecond)
	now, wall = now.Add(40*time.Second), wall.Add(40*time.Second)
	g.Expect(c.Now(now).Sub(wall)).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// An instance that only asks is as near to the agreed time as half of what its latest
// question took, however long that was held, or nearer.
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
