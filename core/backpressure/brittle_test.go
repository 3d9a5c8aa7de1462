package backpressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
)

// Guards against a brittle upstream that is not noticed, and against one that nobody announced.
func TestParseBrittle(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]int{"": -1, "x": -1, "-1": -1, "1.5": -1, "0": 0, " 4 ": 4, "999999999": 1 << 20} {
		n, ok := backpressure.ParseBrittle(value)
		g.Expect(ok).To(Equal(want >= 0), value)
		g.Expect(n).To(Equal(max(0, want)), value)
	}
}

// Guards against upstreams that stay brittle for ever, and against an old response, or one of a sound
// upstream, that makes them look sound.
func TestUpstreamsAreBrittleWhileOneSaysSo(t *testing.T) {
	g := NewWithT(t)
	var b backpressure.Brittle
	b.Hear(true, noon, noon.Add(time.Second))
	b.Hear(false, noon, noon.Add(2*time.Second))
	g.Expect(b.Active()).To(BeTrue())
	b.Hear(false, noon.Add(1900*time.Millisecond), noon.Add(2*time.Second))
	g.Expect(b.Active()).To(BeTrue())
	b.Hear(false, noon.Add(3*time.Second), noon.Add(4*time.Second))
	g.Expect(b.Active()).To(BeFalse())
}

// Guards against instances that together exceed the slots of a brittle upstream, each by its share.
func TestSharesOfAllInstancesFitTheSlots(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ slots, instances int }{{64, 9}, {6, 3}, {8, 4}, {64, 64}} {
		total := 0
		for range c.instances {
			own := 0
			for (backpressure.Room{Slots: c.slots, Instances: c.instances, Own: own, All: c.slots, Lot: rand.Float64()}).Free() {
				own++
			}
			total += own
		}
		g.Expect(total).To(BeNumerically("<=", c.slots), "%+v", c)
		g.Expect(total).To(BeNumerically(">", c.slots/2), "%+v", c)
	}
}

// Guards against a brittle upstream that nobody may use, or all use at once, if there are more instances
// than slots.
func TestMoreInstancesThanSlots(t *testing.T) {
	g := NewWithT(t)
	const instances, slots, upstreams = 1000, 8, 200
	total := 0
	for range upstreams * instances {
		if (backpressure.Room{Slots: slots, Instances: instances, All: slots, Lot: rand.Float64()}).Free() {
			total++
		}
	}
	g.Expect(float64(total) / upstreams).To(BeNumerically("~", slots, 1.0))
	g.Expect(backpressure.Room{Slots: slots, Instances: instances, All: slots/2 - 1, Lot: 0.9}.Free()).To(BeTrue(), "half of it is free")
	g.Expect(backpressure.Room{Slots: slots, Instances: instances, Lot: 0.9, Unknown: true}.Free()).To(BeFalse(), "nobody knows")
}

// Guards against requests that wait in the queue of a brittle engine for its memory.
func TestRoomNeedsMemory(t *testing.T) {
	g := NewWithT(t)
	room := backpressure.Room{Slots: 64, Instances: 1, Tokens: 9_000, Need: 1_000, Memory: 10_000}
	g.Expect(room.Free()).To(BeTrue())
	room.Need++
	g.Expect(room.Free()).To(BeFalse())
	room.Memory = 0
	g.Expect(room.Free()).To(BeTrue(), "no engine")
}

// Guards against rejections beyond what the upstream bears, over seconds in which every instance finds
// it full each time.
func TestRejectionPausesKeepToWhatTheUpstreamBears(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ perSecond, instances int }{{3, 9}, {10, 9}, {20, 88}, {1, 3}, {5, 4}, {9, 4}} {
		pause := backpressure.RejectionPause(c.perSecond, c.instances)
		g.Expect(float64(c.instances)/pause.Seconds()).To(BeNumerically("<=", float64(c.perSecond)+0.01), "%+v", c)
		if c.perSecond >= c.instances {
			inASecond := c.instances * int((time.Second+pause-1)/pause)
			g.Expect(inASecond).To(BeNumerically("<=", c.perSecond), "%+v: all are rejected at once", c)
		}
	}
	g.Expect(backpressure.RejectionPause(0, 9)).To(Equal(5 * time.Second))
	g.Expect(backpressure.RejectionPause(1000, 2)).To(Equal(100 * time.Millisecond))
}
