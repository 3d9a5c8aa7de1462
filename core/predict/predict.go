// Package predict estimates how many tokens an answer will have, as a
// distribution learned by class and organisation. Nobody knows a length before
// the answer ends; the scheduler uses the estimate only to weigh backlogs and to
// charge shares before the true length corrects it.
package predict

import (
	"container/list"
	"math"
	"math/bits"
)

const (
	// bucketsPerOctave is how many buckets cover a factor of two.
	bucketsPerOctave = 4
	octaves          = 18
	bucketCount      = bucketsPerOctave * octaves
	// halvingWindow is the count after which old observations weigh half.
	halvingWindow = 512
	// minObservations is the count from which a histogram speaks for itself.
	minObservations = 16
)

// Key names one distribution. An empty Organisation stands for the whole class.
type Key struct{ Class, Organisation string }

// Predictor holds the distributions. It is not safe for concurrent use.
type Predictor struct {
	prior   float64
	limit   int
	entries map[Key]*list.Element
	recent  *list.List
	classes map[string]*histogram
}

type entry struct {
	key  Key
	hist histogram
}

// New returns a predictor that answers prior tokens before it has seen any
// answer. It keeps at most limit histograms of single organisations (about 350
// bytes each) and drops the one that was observed least recently: that
// organisation falls back to its class.
func New(prior float64, limit int) *Predictor {
	return &Predictor{
		prior: prior, limit: limit,
		entries: map[Key]*list.Element{}, recent: list.New(), classes: map[string]*histogram{},
	}
}

// Observe learns the length of one whole answer.
func (p *Predictor) Observe(class, organisation string, tokens int) {
	h := p.classes[class]
	if h == nil {
		h = &histogram{}
		p.classes[class] = h
	}
	h.add(tokens)
	p.organisationHistogram(Key{class, organisation}).add(tokens)
}

func (p *Predictor) organisationHistogram(k Key) *histogram {
	if at, ok := p.entries[k]; ok {
		p.recent.MoveToFront(at)
		return &at.Value.(*entry).hist
	}
	if p.recent.Len() >= p.limit {
		oldest := p.recent.Back()
		delete(p.entries, oldest.Value.(*entry).key)
		p.recent.Remove(oldest)
	}
	e := &entry{key: k}
	p.entries[k] = p.recent.PushFront(e)
	return &e.hist
}

// Mean returns the expected length in tokens.
func (p *Predictor) Mean(class, organisation string) float64 {
	h := p.histogramFor(class, organisation)
	if h == nil {
		return p.prior
	}
	return h.mean()
}

// Quantile returns the length that a share q, in [0,1], of answers stays at or
// below, exact to a bucket (19%).
func (p *Predictor) Quantile(class, organisation string, q float64) float64 {
	h := p.histogramFor(class, organisation)
	if h == nil {
		return p.prior
	}
	return h.quantile(q)
}

// Len returns how many organisations' histograms are held.
func (p *Predictor) Len() int { return p.recent.Len() }

func (p *Predictor) histogramFor(class, organisation string) *histogram {
	if at, ok := p.entries[Key{class, organisation}]; ok {
		if h := &at.Value.(*entry).hist; h.total >= minObservations {
			return h
		}
	}
	if h := p.classes[class]; h != nil && h.total >= minObservations {
		return h
	}
	return nil
}

// histogram has logarithmic buckets whose counts are halved now and then, so
// that the distribution follows a change of the traffic.
type histogram struct {
	counts [bucketCount]uint32
	total  uint32
	sum    float64
}

func (h *histogram) add(tokens int) {
	h.counts[bucketIndex(tokens)]++
	h.total++
	h.sum += float64(tokens)
	if h.total >= 2*halvingWindow {
		h.halve()
	}
}

func (h *histogram) halve() {
	before := h.total
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
	h.sum *= float64(h.total) / float64(before)
}

func (h *histogram) mean() float64 { return h.sum / float64(h.total) }

func (h *histogram) quantile(q float64) float64 {
	rank := uint32(math.Ceil(q * float64(h.total)))
	seen := uint32(0)
	for i, n := range h.counts {
		seen += n
		if n > 0 && seen >= rank {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func bucketIndex(tokens int) int {
	if tokens < 1 {
		return 0
	}
	octave := bits.Len(uint(tokens)) - 1
	part := math.Log2(float64(tokens)) - float64(octave)
	i := octave*bucketsPerOctave + int(part*bucketsPerOctave)
	return min(i, bucketCount-1)
}

func bucketUpperBound(bucket int) float64 {
	return math.Exp2(float64(bucket+1) / bucketsPerOctave)
}
