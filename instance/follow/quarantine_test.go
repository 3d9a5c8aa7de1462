package follow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Guards against an instance that runs a quarantined request, or never runs a released one
// again, because it took a partial update for the full list or an older list for a newer one.
func TestListOfQuarantinedRequestsIsFollowed(t *testing.T) {
	RegisterTestingT(t)
	a, b := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	g := &group{members: map[string]*member{}}
	setQuarantine := func(c *state.Changes) {
		next := answer(1, 1, true, "m")
		next.Quarantine = c
		g.set("m", next)
	}
	setQuarantine(nil)
	f := start(t, g, "m")
	Eventually(version(f)).Should(Equal(uint64(1)))
	Expect(f.View().Quarantine.Empty()).To(BeTrue())
	Expect(f.Members()).To(Equal([]string{"m"}))
	held := func(x quarantine.Fingerprint) func() bool {
		return func() bool { _, held := f.View().Quarantine.Held(x); return held }
	}
	setQuarantine(&state.Changes{Index: 5, Entries: []state.EntryStatus{{Fingerprint: a, Trial: true}}, Suspects: []quarantine.Fingerprint{b}})
	Eventually(held(a)).Should(BeTrue())
	Expect(f.View().Quarantine.Suspects(b)).To(BeTrue())
	setQuarantine(&state.Changes{Index: 6, Entries: []state.EntryStatus{{Fingerprint: b}}})
	Eventually(held(b)).Should(BeTrue())
	Expect(held(a)()).To(BeTrue(), "a partial update keeps the other entries")
	Expect(f.View().Quarantine.Suspects(b)).To(BeFalse())
	setQuarantine(&state.Changes{Index: 7, Entries: []state.EntryStatus{{Fingerprint: a, Released: true}}})
	Eventually(held(a)).Should(BeFalse())
	setQuarantine(&state.Changes{Index: 5, Entries: []state.EntryStatus{{Fingerprint: a}}})
	Consistently(held(a), 100*time.Millisecond).Should(BeFalse(), "an update from a lagging member is ignored")
	setQuarantine(&state.Changes{Index: 8, Full: true})
	Eventually(held(b)).Should(BeFalse())
	Expect(f.View().Quarantine.Empty()).To(BeTrue())
}
