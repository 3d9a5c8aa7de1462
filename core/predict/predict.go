// Package predict estimates the length of answers in tokens, as distributions learned
// by class and organisation. The length of an answer is unknown until it ends; the
// scheduler uses the estimate only to weigh backlogs and to charge organisations until
// the true length corrects it.
package predict

import (
	"container/list"
	"math"
	"math/bits"
)

const (
	// bucketsPerOctave is the number of buckets for each factor of two.
	bucketsPerOctave = 4
	octaves          = 18
	bucketCount      = bucketsPerOctave * octaves
	// halvingWindow is the number of observations after which the weight of older ones
	// is halved.
	halvingWindow = 512
	// minObservations is the number of observations that a histogram needs before it is
	// used.
	minObservations = 16
)

// Key names the distribution of one organisation in one class.
type Key struct{ Class, Organisation string }

// Predictor holds the distributions of answer lengths. It is not safe for concurrent
// use.
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

// New returns a predictor that estimates prior tokens until enough answers were
// observed. It keeps at most limit histograms of single organisations (about 350 bytes
// each) and evicts the one observed least recently; that organisation falls back to its
// class.
func New(prior float64, limit int) *Predictor {
	return &Predictor{
		prior: prior, limit: limit,
		entries: map[Key]*list.Element{}, recent: list.New(), classes: map[string]*histogram{},
	}
}

// Observe records the length of one complete answer.
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

// Quantile returns the length that a share q, in [0,1], of answers does not exceed,
// accurate to one bucket (19%).
func (p *Predictor) Quantile(class, organisation string, q float64) float64 {
	h := p.histogramFor(class, organisation)
	if h == nil {
		return p.prior
	}
	return h.quantile(q)
}

// Len returns the number of histograms of single organisations.
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

// histogram counts lengths in logarithmic buckets. The counts are halved from time to
// time, so that the distribution follows changes of the traffic.
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
