package order

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// loadBudget is a token bucket over the megabytes that the engines of a failure domain
// are ordered to load. Its capacity is one load of the largest model with its adapters,
// so that in any time t the engines are ordered to load at most capacity + rate x t.
type loadBudget struct {
	ratePerSecond float64 // megabytes a second
	capacity      float64
	available     float64
	refilledAt    time.Time
}

func (b *loadBudget) configure(doc *intent.Document) {
	b.ratePerSecond = float64(cmp.Or(doc.Weights.RateMB, intent.DefaultRateMB))
	b.capacity = 0
	for i := range doc.Models {
		b.capacity = max(b.capacity, float64(sizeWithAdapters(&doc.Models[i])))
	}
	b.available = min(b.available, b.capacity)
}

func (b *loadBudget) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.available = min(b.available+b.ratePerSecond*now.Sub(b.refilledAt).Seconds(), b.capacity)
		b.refilledAt = now
	}
}

func (b *loadBudget) refund(megabytes int) {
	b.available = min(b.available+float64(megabytes), b.capacity)
}

// adapterSizeDivisor divides a model's size to give the size charged for one of its
// adapters: low-rank adapters are well below 1/50 of their model.
const adapterSizeDivisor = 50

func modelSize(m *intent.Model) int { return cmp.Or(m.SizeMB, intent.DefaultSizeMB) }

func adapterSize(m *intent.Model) int { return max(modelSize(m)/adapterSizeDivisor, 1) }

// sizeWithAdapters returns the size of a model with all its adapters, in megabytes.
func sizeWithAdapters(m *intent.Model) int { return modelSize(m) + len(m.Adapters)*adapterSize(m) }
