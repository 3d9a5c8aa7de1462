package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

func TestRateSettlesAtTheUpperQuartile(t *testing.T) {
	g := NewWithT(t)
	var r balance.Rate
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		tokens := 2000 + 10000*rng.Float64()
		ms := 12 + tokens/80*(0.8+0.4*rng.Float64())
		r.Observe(tokens, time.Duration(ms*float64(time.Millisecond)))
	}
	g.Expect(r.PerMS()).To(BeNumerically("~", 88, 8))
}
