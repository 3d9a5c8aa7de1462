package config_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/config"
)

func document(floor float64) *intent.Document {
	return &intent.Document{
		Classes: []intent.Class{{Name: "c", Floor: floor}},
		Organisations: []intent.Organisation{
			{Name: "ward", KeyHashes: []string{config.HashKey("k1"), config.HashKey("k2") + "@2027-01-31"}, Classes: []string{"c"}},
		},
		Upstreams: []intent.Upstream{{Name: "e-*", Kind: intent.KindEngine, KeyHash: config.HashKey("up")}},
	}
}

// An older revision arrives late over another path while a newer one is in force. Applying it
// would silently undo an operator's change.
func TestOlderRevisionIsNeverAppliedAfterNewer(t *testing.T) {
	g := NewWithT(t)
	s := config.New()
	var seen []uint64
	s.Subscribe(func(v *config.View) { seen = append(seen, v.Revision) })
	g.Expect(s.Apply(5, document(0.5))).To(BeTrue())
	g.Expect(s.Apply(4, document(0.4))).To(BeFalse())
	g.Expect(s.Apply(5, document(0.4))).To(BeFalse())
	v, err := s.Current()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Document.Classes[0].Floor).To(Equal(0.5))
	g.Expect(seen).To(Equal([]uint64{5}))
}

func TestKeys(t *testing.T) {
	g := NewWithT(t)
	v := config.NewView(1, document(0))
	parseTime := func(s string) time.Time {
		d, err := time.Parse(time.DateTime, s)
		g.Expect(err).NotTo(HaveOccurred())
		return d
	}
	for _, c := range []struct {
		key  string
		at   time.Time
		code fault.Code
	}{
		{"k1", parseTime("2030-01-01 00:00:00"), ""},
		{"k2", parseTime("2027-01-31 23:59:59"), ""},
		{"k2", parseTime("2027-02-01 00:00:01"), fault.Unauthenticated},
		{"other", parseTime("2027-01-01 00:00:00"), fault.Unauthenticated},
		{"", parseTime("2027-01-01 00:00:00"), fault.Unauthenticated},
	} {
		_, err := v.Organisation(c.key, c.at)
		g.Expect(fault.CodeOf(err)).To(Equal(c.code), c.key)
	}
	_, err := v.Upstream("e-1", "up")
	g.Expect(err).NotTo(HaveOccurred())
	for _, pair := range [][2]string{{"e-1", "k1"}, {"x-1", "up"}} {
		_, err := v.Upstream(pair[0], pair[1])
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Unauthenticated))
	}
}
