package ratelimit_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
)

// compareAll has all ways played, for docs/design/limits.md.
var compareAll = flag.Bool("ratelimit.all", false, "play all ways, not only the one that instances go")

const (
	playStep = 10 * time.Millisecond
	playFor  = 60 * time.Second
	// toHolder and fromHolder are how long a question and its answer take at most.
	wayToHolder = 20 * time.Millisecond
	// told is how old what instances know of each other's demand is.
	told = 500 * time.Millisecond
	// patience is for how long a request waits, as where no other upstream has room.
	patience = 250 * time.Millisecond
)

// scene is who asks how much for one upstream.
type scene struct {
	name      string
	instances int
	perSecond float64
	// offered is how many requests come, as a multiple of the limit.
	offered float64
	// at draws the instance at which a request comes.
	at func(rng *rand.Rand, now time.Duration, n int) int
}

func even(rng *rand.Rand, _ time.Duration, n int) int { return rng.IntN(n) }

func uneven(rng *rand.Rand, _ time.Duration, n int) int {
	if rng.IntN(10) > 0 {
		return 0
	}
	return rng.IntN(n)
}

// moving has all come at one instance, another one every two seconds.
func moving(_ *rand.Rand, now time.Duration, n int) int { return int(now/(2*time.Second)) % n }

// way decides whether a request that comes at an instance may be sent.
type way interface {
	admit(now time.Duration, instance int, first bool) bool
}

type newWay func(rng *rand.Rand, s *scene) way

// unlimited sends all.
type unlimited struct{}

func (unlimited) admit(time.Duration, int, bool) bool { return true }

// parts are token buckets of the instances, each with its part of the limit.
type parts struct {
	s      *scene
	part   func(now time.Duration, instance int) float64
	tokens []float64
	at     []time.Duration
}

func newParts(s *scene, part func(time.Duration, int) float64) *parts {
	return &parts{s, part, make([]float64, s.instances), make([]time.Duration, s.instances)}
}

func (p *parts) admit(now time.Duration, i int, _ bool) bool {
	p.tokens[i] = min(1, p.tokens[i]+p.part(now, i)*(now-p.at[i]).Seconds())
	p.at[i] = now
	if p.tokens[i] < 1 {
		return false
	}
	p.tokens[i]--
	return true
}

// byDemand gives each instance the part of the limit that its demand is of all, as it was some
// time ago, and counts its own demand at once.
type byDemand struct {
	*parts
	seen [][]time.Duration
}

func newByDemand(s *scene) *byDemand {
	d := &byDemand{seen: make([][]time.Duration, s.instances)}
	d.parts = newParts(s, func(now time.Duration, i int) float64 {
		own, all := float64(d.count(i, now)), 0.0
		for j := range d.seen {
			if j != i {
				all += float64(d.count(j, now-told))
			}
		}
		if own == 0 {
			return 0
		}
		return s.perSecond * own / (own + all)
	})
	return d
}

func (d *byDemand) count(i int, now time.Duration) (n int) {
	for _, at := range d.seen[i] {
		if at <= now && now-at < 2*time.Second {
			n++
		}
	}
	return n
}

func (d *byDemand) admit(now time.Duration, i int, first bool) bool {
	if first {
		d.seen[i] = append(d.seen[i], now)
	}
	if len(d.seen[i]) > 400 {
		d.seen[i] = d.seen[i][200:]
	}
	return d.parts.admit(now, i, first)
}

// rights are those that one holder hands out.
type rights struct {
	rng     *rand.Rand
	s       *scene
	holder  *ratelimit.Allocator
	wallets []*ratelimit.TokenStore
	arrives []grantAt
	next    []time.Duration
}

type grantAt struct {
	at     time.Duration
	asked  time.Duration
	wallet *ratelimit.TokenStore
	ask    *ratelimit.TokenRequest
}

func newRights(rng *rand.Rand, s *scene) *rights {
	r := &rights{rng: rng, s: s, holder: ratelimit.NewAllocator(), next: make([]time.Duration, s.instances)}
	for range s.instances {
		r.wallets = append(r.wallets, ratelimit.NewTokenStore())
	}
	return r
}

func (r *rights) admit(now time.Duration, i int, first bool) bool {
	var open []*ratelimit.TokenRequest
	for _, g := range r.arrives {
		open = append(open, g.ask)
	}
	r.holder.Allocate(epoch.Add(now), rates{upstream: r.s.perSecond}, open)
	var later []grantAt
	for _, g := range r.arrives {
		if now < g.at {
			later = append(later, g)
			continue
		}
		g.wallet.Add(epoch.Add(g.asked), g.ask.Grants)
	}
	r.arrives = later
	w := r.wallets[i]
	if first {
		w.AddDemand(upstream, 0)
	}
	if now >= r.next[i] && w.HasDemand() {
		r.next[i] = now + 50*time.Millisecond + time.Duration(r.s.instances)*2*time.Millisecond
		r.arrives = append(r.arrives, grantAt{now + wayToHolder + time.Duration(r.rng.Int64N(int64(150*time.Millisecond))), now, w, &ratelimit.TokenRequest{Demands: w.DrainDemands()}})
	}
	return w.Use(epoch.Add(now), upstream)
}

var waysToKeepALimit = []struct {
	name string
	new  newWay
}{
	{"nobody keeps it (as it was)", func(*rand.Rand, *scene) way { return unlimited{} }},
	{"each instance by itself", func(_ *rand.Rand, s *scene) way {
		return newParts(s, func(time.Duration, int) float64 { return s.perSecond })
	}},
	{"equal parts", func(_ *rand.Rand, s *scene) way {
		return newParts(s, func(time.Duration, int) float64 { return s.perSecond / float64(s.instances) })
	}},
	{"parts by demand", func(_ *rand.Rand, s *scene) way { return newByDemand(s) }},
	{"rights of one holder", func(rng *rand.Rand, s *scene) way { return newRights(rng, s) }},
}

// chosen is the way that instances go.
const chosen = 4

// play returns how many requests came in the worst window, as a part of what is allowed, and
// which part of the limit was used.
func (s *scene) play(seed uint64, n newWay) (worst, used float64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	w := n(rng, s)
	type waiter struct {
		came     time.Duration
		instance int
	}
	var sent []time.Duration
	var waiting []waiter
	owed := 0.0
	for now := time.Duration(0); now < playFor; now += playStep {
		for owed += s.offered * s.perSecond * playStep.Seconds(); owed >= 1; owed-- {
			waiting = append(waiting, waiter{now, s.at(rng, now, s.instances)})
		}
		var still []waiter
		for _, x := range waiting {
			switch {
			case w.admit(now, x.instance, now == x.came):
				sent = append(sent, now)
			case now-x.came < patience:
				still = append(still, x)
			}
		}
		waiting = still
	}
	from := 0
	for i, at := range sent {
		for at-sent[from] > 4*time.Second {
			from++
		}
		worst = max(worst, float64(i-from+1)/(6*s.perSecond+5))
	}
	return worst, float64(len(sent)) / (s.perSecond * playFor.Seconds())
}

// TestWaysToKeepALimit prints what each way comes to, and guards the one that instances go
// against more than is allowed, and against much less while more is asked.
func TestWaysToKeepALimit(t *testing.T) {
	g := NewWithT(t)
	for _, demand := range []struct {
		name string
		at   func(*rand.Rand, time.Duration, int) int
	}{{"even", even}, {"nine of ten at one", uneven}, {"all at one, moving", moving}} {
		for _, instances := range []int{9, 79, 450} {
			for _, perSecond := range []float64{0.3, 2.3, 30} {
				for i, w := range waysToKeepALimit {
					if i != chosen && !*compareAll {
						continue
					}
					s := &scene{name: demand.name, instances: instances, perSecond: perSecond, offered: 5, at: demand.at}
					worst, used := s.play(1, w.new)
					t.Logf("%-20s %3d instances, %4.1f a second: %-28s worst window %5.2f of what is allowed, used %.2f", s.name, instances, perSecond, w.name, worst, used)
					if i == chosen {
						g.Expect(worst).To(BeNumerically("<=", 1), s.name)
						g.Expect(used).To(BeNumerically(">=", 0.6), s.name)
					}
				}
			}
		}
	}
}
