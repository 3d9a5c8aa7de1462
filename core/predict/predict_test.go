package predict_test

import (
	"fmt"
	"math/rand"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/predict"
)

func TestQuantilesMatchObservedLengths(t *testing.T) {
	g := NewWithT(t)
	p := predict.New(100, 8)
	g.Expect(p.Mean("draft", "a")).To(Equal(100.0))
	rnd := rand.New(rand.NewSource(1))
	for range 5000 {
		p.Observe("draft", "a", 1+rnd.Intn(1000))
	}
	g.Expect(p.Mean("draft", "a")).To(BeNumerically("~", 500, 50))
	g.Expect(p.Quantile("draft", "a", 0.5)).To(BeNumerically("~", 500, 120))
	g.Expect(p.Quantile("draft", "a", 1)).To(BeNumerically(">=", 900))
}

func TestUnknownOrganisationFallsBackToItsClass(t *testing.T) {
	g := NewWithT(t)
	p := predict.New(100, 8)
	for range 50 {
		p.Observe("status", "a", 10)
	}
	g.Expect(p.Mean("status", "b")).To(BeNumerically("~", 10, 0.1))
	g.Expect(p.Mean("other", "a")).To(Equal(100.0))
}

func TestOrganisationHistogramsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := predict.New(100, 64)
	for i := range 1600 {
		for range 20 {
			p.Observe("draft", fmt.Sprint(i), 7)
		}
	}
	g.Expect(p.Len()).To(Equal(64))
	g.Expect(p.Mean("draft", "0")).To(BeNumerically("~", 7, 0.1))
}
