package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/registry"
)

const (
	ttl       = 2500 * time.Millisecond
	step      = 250 * time.Millisecond
	instances = 3
)

func beat(incarnation, sequence uint64) announce.Heartbeat {
	return announce.Heartbeat{
		Name: "e1", Domain: "hall", Kind: intent.KindEngine, Address: "127.0.0.1:1", Slots: 1,
		Incarnation: incarnation, Sequence: sequence, TTLMillis: ttl.Milliseconds(),
	}
}

// inFlightBeat is a beat that an instance holds for relaying, with the time it was
// received.
type inFlightBeat struct {
	m  registry.RelayedBeat
	at time.Time
}

// domain is a set of instances that relay the beats of one upstream.
type domain struct {
	now         time.Time
	registries  [instances]*registry.Registry
	left        [instances]uint64 // the incarnation whose leave it has seen
	inFlight    []inFlightBeat
	incarnation uint64
	sequence    uint64
	alive       bool
	ended       time.Time
}

func (d *domain) announce(t *rapid.T) {
	if !d.alive {
		if rapid.IntRange(0, 40).Draw(t, "returns") == 0 {
			d.incarnation, d.sequence, d.alive = d.incarnation+1, 0, true
		}
		return
	}
	d.sequence++
	b := beat(d.incarnation, d.sequence)
	switch rapid.IntRange(0, 20).Draw(t, "event") {
	case 0:
		d.alive, d.ended = false, d.now
		return
	case 1:
		d.alive, d.ended = false, d.now
		b.Leave = true
	}
	to := rapid.IntRange(0, instances-1).Draw(t, "to")
	d.registries[to].Apply(d.now, b)
	d.recordLeave(to, b)
	d.inFlight = append(d.inFlight, inFlightBeat{registry.RelayedBeat{Beat: b, Remaining: ttl}, d.now})
}

func (d *domain) relay(t *rapid.T) {
	for _, h := range d.inFlight {
		if rapid.IntRange(0, 2).Draw(t, "relay") > 0 {
			continue
		}
		to := rapid.IntRange(0, instances-1).Draw(t, "relay to")
		m, ok := registry.WithDelay(h.m, d.now.Sub(h.at))
		if !ok {
			continue
		}
		outcome := registry.Unknown
		if b, ok := registry.Compact(m); ok && rapid.Bool().Draw(t, "brief") {
			outcome = d.registries[to].ApplyCompact(d.now, b)
		}
		if outcome == registry.Unknown {
			outcome = d.registries[to].ApplyRelayed(d.now, m)
		}
		if outcome == registry.Accepted {
			d.recordLeave(to, m.Beat)
			d.inFlight = append(d.inFlight, inFlightBeat{m, d.now})
		}
	}
}

func (d *domain) recordLeave(to int, b announce.Heartbeat) {
	if b.Leave {
		d.left[to] = max(d.left[to], b.Incarnation)
	}
}

func (d *domain) check(t *rapid.T) {
	for i, r := range d.registries {
		r.Expire(d.now)
		u := r.View().Find("e1")
		if u == nil {
			continue
		}
		if !d.alive && d.now.Sub(d.ended) >= registry.MaxSilence {
			t.Fatalf("instance %d still uses the upstream %s after it ended", i, d.now.Sub(d.ended))
		}
		if u.Incarnation <= d.left[i] {
			t.Fatalf("instance %d uses incarnation %d although it knows that incarnation %d left", i, u.Incarnation, d.left[i])
		}
	}
}

// Guards against instances that keep a dead upstream alive for each other: the beats of an
// upstream are relayed late, duplicated and reordered, and then it dies or leaves. If a
// relayed beat counted as a fresh one, requests would be sent to the dead upstream without
// end.
func TestNothingIsUsableAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &domain{now: time.Unix(1000, 0), incarnation: 1, alive: true}
		for i := range d.registries {
			d.registries[i] = registry.New("hall")
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			d.now = d.now.Add(step)
			d.announce(t)
			d.relay(t)
			d.check(t)
		}
	})
}

func TestOrderOfBeats(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := registry.New("hall")
	g.Expect(r.Apply(now, beat(1, 2))).To(Equal(registry.Accepted))
	g.Expect(r.MembershipChanges()).To(BeEquivalentTo(1))
	g.Expect(r.Apply(now, beat(1, 2))).To(Equal(registry.Stale))
	g.Expect(r.Apply(now, beat(1, 1))).To(Equal(registry.Stale))
	leave := beat(1, 3)
	leave.Leave = true
	g.Expect(r.Apply(now, leave)).To(Equal(registry.Accepted))
	g.Expect(r.MembershipChanges()).To(BeEquivalentTo(2))
	g.Expect(r.View().Find("e1")).To(BeNil())
	g.Expect(r.Apply(now, beat(1, 4))).To(Equal(registry.Stale), "a leave is final for an incarnation")
	g.Expect(r.Apply(now, beat(2, 1))).To(Equal(registry.Accepted))
	g.Expect(r.MembershipChanges()).To(BeEquivalentTo(3))
	g.Expect(r.Apply(now, beat(2, 2))).To(Equal(registry.Accepted))
	g.Expect(r.MembershipChanges()).To(BeEquivalentTo(3))
	g.Expect(r.View().Find("e1")).NotTo(BeNil())
	other := beat(9, 9)
	other.Domain = "elsewhere"
	g.Expect(r.Apply(now, other)).To(Equal(registry.WrongDomain))
}

func TestLifetimes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := registry.New("hall")
	long := beat(1, 1)
	long.TTLMillis = announce.MaxTTL.Milliseconds()
	r.Apply(now, long)
	before := r.View()
	g.Expect(r.Expire(now.Add(registry.MaxSilence - 1))).To(BeEmpty())
	g.Expect(r.Expire(now.Add(registry.MaxSilence))).To(Equal([]string{"e1"}))
	g.Expect(r.View().Upstreams).To(BeEmpty())
	g.Expect(r.View().Version).To(BeNumerically(">", before.Version))
	g.Expect(before.Upstreams).To(HaveLen(1), "a view does not change")
	g.Expect(r.Apply(now, long)).To(Equal(registry.Stale))

	long.Sequence++
	r.ApplyRelayed(now, registry.RelayedBeat{Beat: long, Remaining: time.Hour})
	g.Expect(r.Expire(now.Add(registry.MaxSilence))).To(Equal([]string{"e1"}))

	r.Expire(now.Add(registry.ForgetAfter + time.Minute))
	g.Expect(r.ApplyRelayed(now, registry.RelayedBeat{Beat: long})).To(Equal(registry.Expired))
}

// Guards against requests that are sent to an engine for a prefix that it no longer holds,
// rather than to engines that hold it, because the event that reported the eviction was
// lost.
func TestCacheEventsWithGap(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := registry.New("hall")
	apply := func(incarnation, sequence uint64, events ...announce.CacheEvent) *registry.Cache {
		b := beat(incarnation, sequence)
		b.Cache = events
		r.Apply(now, b)
		return r.View().Find("e1").Cache
	}
	first := apply(1, 1, announce.CacheEvent{Number: 1, Prefix: 10}, announce.CacheEvent{Number: 2, Prefix: 20})
	second := apply(1, 2, announce.CacheEvent{Number: 2, Prefix: 20}, announce.CacheEvent{Number: 3, Prefix: 10, Dropped: true})
	g.Expect([]bool{first.Holds(10), first.Holds(20), first.Incomplete}).To(Equal([]bool{true, true, false}))
	g.Expect([]bool{second.Holds(10), second.Holds(20), second.Incomplete}).To(Equal([]bool{false, true, false}))
	third := apply(1, 3, announce.CacheEvent{Number: 5, Prefix: 30})
	g.Expect([]bool{third.Holds(20), third.Holds(30), third.Incomplete}).To(Equal([]bool{false, true, true}))
	fourth := apply(2, 1)
	g.Expect([]bool{fourth.Holds(30), fourth.Incomplete}).To(Equal([]bool{false, false}))
}

func TestAgeOfLoadReport(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := registry.New("hall")
	b := beat(1, 1)
	b.Load = &announce.Load{Running: 3, AgeMillis: 400}
	r.ApplyRelayed(now, registry.RelayedBeat{Beat: b, Remaining: time.Second, Age: 100 * time.Millisecond})
	r.Apply(now, beat(1, 2))
	u := r.View().Find("e1")
	g.Expect(u.Load.Running).To(Equal(3))
	g.Expect(now.Sub(u.LoadAt)).To(Equal(500 * time.Millisecond))
}

func TestBriefBeats(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	one, two := registry.New("hall"), registry.New("hall")
	b := beat(1, 1)
	b.Models = []string{"m1"}
	b.Load = &announce.Load{Running: 2, TokensPerSecond: 99.6, KVUsed: 0.25, AgeMillis: 40}
	one.Apply(now, b)
	relayed := func(b announce.Heartbeat) registry.CompactBeat {
		short, ok := registry.Compact(registry.RelayedBeat{Beat: b, Remaining: time.Second})
		g.Expect(ok).To(BeTrue())
		return short
	}
	g.Expect(two.ApplyCompact(now, relayed(b))).To(Equal(registry.Unknown))
	whole, ok := one.FullBeat(now.Add(time.Second), relayed(b).Ref)
	g.Expect(ok).To(BeTrue())
	g.Expect(whole.Remaining).To(Equal(ttl - time.Second))
	g.Expect(two.ApplyRelayed(now, whole)).To(Equal(registry.Accepted))
	b.Sequence = 2
	g.Expect(two.ApplyCompact(now, relayed(b))).To(Equal(registry.Accepted))
	u := two.View().Find("e1")
	g.Expect(u.Models).To(Equal([]string{"m1"}))
	g.Expect(*u.Load).To(Equal(announce.Load{Running: 2, TokensPerSecond: 100, KVUsed: 0.25, AgeMillis: 40}))
	b.Sequence, b.Models = 3, []string{"m1", "m2"}
	g.Expect(two.ApplyCompact(now, relayed(b))).To(Equal(registry.Unknown), "the models changed")
	b.Incarnation, b.Models = 2, []string{"m1"}
	g.Expect(two.ApplyCompact(now, relayed(b))).To(Equal(registry.Unknown), "a new incarnation may differ in every field")
}

// Guards against a statement of how long an engine stays cold that is lost or outlives its end when beats
// are relayed in compact form, and against one that is relayed late.
func TestStatedWarmUpIsRelayed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_790_000_000, 0)
	left := func(ms int64) *int64 { return &ms }
	near, far := registry.New("hall"), registry.New("hall")
	for n, stated := range []*int64{nil, left(0), left(2000), left(1000), left(0), nil} {
		b := beat(1, uint64(n+1))
		b.WarmupLeftMillis = stated
		before := near.MembershipChanges()
		g.Expect(near.Apply(now, b)).To(Equal(registry.Accepted))
		m := registry.RelayedBeat{Beat: b, Remaining: time.Second}
		if n == 2 {
			g.Expect(near.MembershipChanges()).To(Equal(before+1), "cold again")
		}
		c, compact := registry.Compact(m)
		g.Expect(compact).To(Equal(stated == nil || *stated == 0))
		if !compact || far.ApplyCompact(now, c) == registry.Unknown {
			g.Expect(far.ApplyRelayed(now, m)).To(Equal(registry.Accepted))
		}
		g.Expect(far.View().Find("e1").WarmupLeftMillis).To(Equal(stated))
		g.Expect(far.View().Find("e1").Sequence).To(Equal(b.Sequence))
	}
	before := near.MembershipChanges()
	g.Expect(near.Apply(now, beat(2, 1))).To(Equal(registry.Accepted))
	g.Expect(near.MembershipChanges()).To(Equal(before+1), "a new incarnation")
}
