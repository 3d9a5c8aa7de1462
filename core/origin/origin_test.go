package origin_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/origin"
)

var epoch = time.Unix(1000, 0)

func TestOriginIsKeptForALifetime(t *testing.T) {
	g := NewWithT(t)
	s, k := origin.NewStore(), origin.KeyOf([]byte("a1"))
	at := origin.Origin{Service: "s", Software: "v1"}
	s.Add(epoch, k, at)
	s.Add(epoch.Add(50*time.Second), origin.KeyOf([]byte("a2")), at)
	for _, later := range []time.Duration{0, 59 * time.Second, 61 * time.Second} {
		found, known := s.Find(epoch.Add(later), k)
		g.Expect(known).To(BeTrue(), "%v", later)
		g.Expect(found).To(Equal(at))
	}
	_, known := s.Find(epoch.Add(130*time.Second), k)
	g.Expect(known).To(BeFalse())
	_, known = s.Find(epoch, origin.KeyOf([]byte("another")))
	g.Expect(known).To(BeFalse())
}

// Guards against a member whose memory grows with the number of streams.
func TestNumberOfOriginsIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := origin.NewStore()
	const many = 1 << 19
	for i := range origin.Key(many) {
		s.Add(epoch, i, origin.Origin{Service: "s"})
	}
	known := 0
	for i := range origin.Key(many) {
		if _, found := s.Find(epoch, i); found {
			known++
		}
	}
	g.Expect(known).To(And(BeNumerically(">", 0), BeNumerically("<=", many/2)))
	_, found := s.Find(epoch, many-1)
	g.Expect(found).To(BeTrue(), "the latest is known")
}
