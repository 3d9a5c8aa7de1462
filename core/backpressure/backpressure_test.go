package backpressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// Guards against a pause that is missed or misread, and against one that nobody asked for.
func TestParse(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		status              int
		retryAfter, leaving string
		want                backpressure.Ask
	}{
		{503, "3", "", backpressure.Ask{Pause: 3 * time.Second}},
		{503, " 0.25 ", "", backpressure.Ask{Pause: 250 * time.Millisecond}},
		{503, "Thu, 03 Dec 2026 12:00:05 GMT", "", backpressure.Ask{Pause: 5 * time.Second}},
		{503, "Thu, 03 Dec 2026 11:00:00 GMT", "", backpressure.Ask{}},
		{503, "1e300", "", backpressure.Ask{Pause: 24 * time.Hour}},
		{503, "", "1", backpressure.Ask{Leaving: true}},
		{200, "", "1", backpressure.Ask{Leaving: true}},
		{200, "3", "", backpressure.Ask{}},
		{429, "3", "", backpressure.Ask{}},
		{503, "3", "0", backpressure.Ask{Pause: 3 * time.Second}},
	} {
		g.Expect(backpressure.Parse(c.status, c.retryAfter, c.leaving, noon)).To(Equal(c.want), "%+v", c)
	}
	for _, bad := range []string{"", "0", "-1", "NaN", "-Inf", "soon", "3 s"} {
		g.Expect(backpressure.Parse(503, bad, bad, noon)).To(Equal(backpressure.Ask{}), bad)
	}
}

// Guards against a gate that opens before the end of any pause asked for, or after a leave.
func TestGateStaysClosedAsLongAsWasAsked(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(500) {
		draw := rand.New(rand.NewPCG(seed, 1))
		gate, now, until, leaving := &backpressure.Gate{}, noon, noon, false
		for range 40 {
			now = now.Add(time.Duration(draw.IntN(1000)) * time.Millisecond)
			if draw.IntN(3) == 0 {
				ask := backpressure.Ask{Pause: time.Duration(draw.IntN(3000)) * time.Millisecond, Leaving: draw.IntN(60) == 0}
				gate.Apply(ask, now)
				leaving = leaving || ask.Leaving
				if end := now.Add(ask.Pause); end.After(until) {
					until = end
				}
			}
			want := leaving || now.Before(until)
			g.Expect(gate.Closed(func() time.Time { return now })).To(Equal(want), "seed %d", seed)
			g.Expect(gate.Leaving()).To(Equal(leaving), "seed %d", seed)
			g.Expect(gate.Left(now) > 0).To(Equal(want), "seed %d", seed)
			if want && !leaving {
				g.Expect(gate.Left(now)).To(Equal(until.Sub(now)), "seed %d", seed)
			}
		}
	}
}

// Guards against logging each response of an upstream that repeats what it asked for.
func TestApplyReportsOnlyLongerPauses(t *testing.T) {
	g := NewWithT(t)
	gate := &backpressure.Gate{}
	g.Expect(gate.Apply(backpressure.Ask{}, noon)).To(BeFalse())
	g.Expect(gate.Apply(backpressure.Ask{Pause: time.Second}, noon)).To(BeTrue())
	g.Expect(gate.Apply(backpressure.Ask{Pause: time.Second / 2}, noon)).To(BeFalse())
	g.Expect(gate.Apply(backpressure.Ask{Leaving: true}, noon)).To(BeTrue())
	g.Expect(gate.Apply(backpressure.Ask{Pause: time.Second, Leaving: true}, noon)).To(BeFalse())
}
