package order

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// budget is a token bucket over the megabytes that the domain's engines are
// ordered to load. It holds one load of the largest model, so that in any time t
// they are ordered to load at most that and rate x t.
type budget struct {
	rate  float64 // megabytes a second
	most  float64
	level float64
	at    time.Time
}

func (b *budget) configure(doc *intent.Document) {
	b.rate = float64(cmp.Or(doc.Weights.RateMB, intent.DefaultRateMB))
	b.most = 0
	for i := range doc.Models {
		b.most = max(b.most, float64(wholeSize(&doc.Models[i])))
	}
	b.level = min(b.level, b.most)
}

func (b *budget) refill(now time.Time) {
	if now.After(b.at) {
		b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.most)
		b.at = now
	}
}

func (b *budget) giveBack(megabytes int) { b.level = min(b.level+float64(megabytes), b.most) }

// adapterShare is the part of its model's size that an adapter is charged: low-rank
// adapters are well under it.
const adapterShare = 50

func sizeOf(m *intent.Model) int { return cmp.Or(m.SizeMB, intent.DefaultSizeMB) }

func adapterSize(m *intent.Model) int { return max(sizeOf(m)/adapterShare, 1) }

// wholeSize is that of a model with all its adapters.
func wholeSize(m *intent.Model) int { return sizeOf(m) + len(m.Adapters)*adapterSize(m) }
