package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against the trial of a quarantined request that is made twice as its failure is dropped, by a cut
// or by a probe that finds the upstream's successor; and against other losses that outlive these.
func TestCutDropsNoEvidenceOfATrial(t *testing.T) {
	g := NewWithT(t)
	for name, drop := range map[string]func(*losses){
		"cut":   func(l *losses) { l.forget() },
		"probe": func(l *losses) { l.probed(probeListens) },
	} {
		l, now := &losses{}, time.Now()
		l.add(loss{at: now, trial: true}, false)
		l.add(loss{at: now}, false)
		drop(l)
		g.Expect(l.takeCrashed(now)).To(BeEmpty(), "%s: the upstream is not known to have ended", name)
		l.superseded()
		kept := l.takeCrashed(now)
		g.Expect(kept).To(HaveLen(1), name)
		g.Expect(kept[0].trial).To(BeTrue(), name)
		l.add(loss{at: now, trial: true}, false)
		g.Expect(l.takeCrashed(now.Add(lossRetention))).To(BeEmpty(), "%s: it is too old", name)
	}
}
