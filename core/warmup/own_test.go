package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/warmup"
)

// countedShares is the alternative without messages in which each instance divides the rate by the number
// of instances that it knows, from zero, and may save one request.
func (w *world) countedShares(bound warmup.Bound, known int) way {
	part := *w
	part.instances = known
	return part.shares(bound, 0)
}

// restarted lets an engine start again under its name at 4 s. The instances with odd numbers learn that a
// second later and use permits of the first incarnation until then.
func restarted(old, next way) way {
	return func(now time.Duration, i, e int) bool {
		if now < 4*time.Second || i%2 == 1 && now < 5*time.Second {
			return old(now, i, e)
		}
		return next(now, i, e)
	}
}

// Prints the alternatives of the own daemon for docs/design/cold-upstreams.md. Guards against a restart under the
// same name that doubles the permits, and against a choice whose reason no longer holds: shares exceed the bound
// while instances see fewer others than there are.
func TestAlternativesOfTheOwnDaemon(t *testing.T) {
	g := NewWithT(t)
	for _, instances := range []int{2, 4, 21} {
		w := &world{rng: rand.New(rand.NewPCG(1, 7)), instances: instances, engines: 1, perSecond: 400}
		agreed, agreedUsed := w.run(w.countedShares(example, instances))
		halves, _ := w.run(w.countedShares(example, instances/2))
		alone, _ := w.run(w.countedShares(example, 1))
		one := w.permits(example)
		shared, sharedUsed := w.run(restarted(one, one))
		split, _ := w.run(restarted(w.permits(example), w.permits(example)))
		t.Logf("%d instances, worst second and total: shares %d and %.0f, in two halves %d, each alone %d; restart with permits by name %d and %.0f, by incarnation %d",
			instances, agreed, agreedUsed, halves, alone, shared, sharedUsed, split)
		g.Expect(float64(alone)).To(BeNumerically(">=", example.Requests()))
		g.Expect(float64(shared)).To(BeNumerically("<=", example.Requests()))
		g.Expect(sharedUsed).To(BeNumerically(">=", 0.5*example.PerSecond*coldTime.Seconds()))
	}
}
