// Package registry is a failure domain's view of its upstreams, made from their
// announcements. It is a pure state machine: time is passed in, and beats are
// values that a service carries between the domain's instances.
package registry

import (
	"sort"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
)

// Limits of a Registry.
const (
	// MaxSilence is how long an upstream is given new work after its last beat,
	// whatever lifetime the beat asks for: three of the beats that come once a
	// second, so that two lost ones do no harm.
	MaxSilence = 3 * time.Second
	// ForgetAfter is how long an upstream that is gone is remembered, so that
	// its late beats are known to be late. It exceeds any delay of a beat.
	ForgetAfter = 10 * time.Minute
	// MaxUpstreams bounds the memory that announcements can take.
	MaxUpstreams = 4096
	// MaxPrefixes bounds the known cache entries of one upstream; those known
	// for longest are dropped first.
	MaxPrefixes = 16_384
)

// Relayed is a beat on its way between instances.
type Relayed struct {
	Beat announce.Heartbeat `codec:"b"`
	// Remaining is for how long the beat still keeps the upstream alive.
	Remaining time.Duration `codec:"r"`
	// Age is how long ago the upstream sent it to the domain.
	Age time.Duration `codec:"a"`
}

// Upstream is an immutable view of one upstream that may be given work.
type Upstream struct {
	// Beat is the latest one, without its cache events.
	announce.Heartbeat
	// HeardAt is when the beat reached the failure domain.
	HeardAt time.Time
	// Load is the latest load report, or nil; LoadAt is when it was true.
	Load   *announce.Load
	LoadAt time.Time
	// Cache tells which prefixes the upstream holds.
	Cache *Cache
}

// View is an immutable snapshot of the upstreams that may be given new work.
type View struct {
	// Version grows with each change.
	Version   uint64
	Upstreams []Upstream
	byName    map[string]int
}

// Find returns the upstream of that name, or nil.
func (v *View) Find(name string) *Upstream {
	i, ok := v.byName[name]
	if !ok {
		return nil
	}
	return &v.Upstreams[i]
}

type entry struct {
	up      Upstream
	expires time.Time // no new work from then on
	gone    bool      // left or expired
	left    bool
	cache   cache
	ref     uint64 // of what a Brief leaves out; zero before the first beat
}

// Registry is one instance's view. It is not safe for concurrent use; a View is.
type Registry struct {
	domain  string
	entries map[string]*entry
	byRef   map[uint64]*entry
	version uint64
	turns   uint64
	view    *View
}

// New returns an empty view of a failure domain.
func New(domain string) *Registry {
	return &Registry{domain: domain, entries: map[string]*entry{}, byRef: map[uint64]*entry{}}
}

// Outcome says what became of a beat.
type Outcome uint8

// Outcomes of Apply and ApplyRelayed.
const (
	// Accepted beats are to be relayed to the other instances of the domain.
	Accepted Outcome = iota + 1
	// Stale beats are no newer than what is known.
	Stale
	// Foreign beats belong to another failure domain.
	Foreign
	// Full means that MaxUpstreams are known already.
	Full
	// Expired beats keep nothing alive any more.
	Expired
	// Unknown brief beats lack what must be known before.
	Unknown
)

// Apply takes in a beat that the upstream itself sent to this instance.
func (r *Registry) Apply(now time.Time, beat announce.Heartbeat) Outcome {
	return r.ApplyRelayed(now, Relayed{Beat: beat, Remaining: min(beat.TTL(), MaxSilence)})
}

// ApplyRelayed takes in a beat with what remains of its lifetime. Beats are
// ordered by incarnation and sequence, so that a late or repeated one changes
// nothing: neither does it bring back an upstream that left or fell silent, nor
// does it prolong a life. The remaining lifetime never grows on the way, so that
// instances which relay each other's beats cannot keep a dead upstream alive.
func (r *Registry) ApplyRelayed(now time.Time, m Relayed) Outcome {
	beat := m.Beat
	if beat.Domain != r.domain {
		return Foreign
	}
	e := r.entries[beat.Name]
	if e != nil && !beat.Newer(e.up.Incarnation, e.up.Sequence) {
		return Stale
	}
	if e != nil && e.left && beat.Incarnation == e.up.Incarnation {
		// A leave is final for an incarnation: a beat after it can only come
		// from a process that did not end yet.
		return Stale
	}
	remaining := min(m.Remaining, MaxSilence, beat.TTL())
	if remaining <= 0 && !beat.Leave {
		return Expired
	}
	if e == nil {
		if len(r.entries) >= MaxUpstreams {
			return Full
		}
		e = &entry{}
		r.entries[beat.Name] = e
	}
	r.accept(now, e, m, remaining)
	return Accepted
}

func (r *Registry) accept(now time.Time, e *entry, m Relayed, remaining time.Duration) {
	beat := m.Beat
	if beat.Incarnation != e.up.Incarnation {
		// A process that started anew has an empty cache and no load report.
		e.cache = cache{}
		e.up.Load = nil
	}
	heard := now.Add(-max(m.Age, 0))
	if beat.Load != nil {
		e.up.Load = beat.Load
		e.up.LoadAt = heard.Add(-time.Duration(beat.Load.AgeMillis) * time.Millisecond)
	}
	e.cache.apply(beat.Cache)
	beat.Cache, beat.Load = nil, nil
	e.up.Heartbeat = beat
	e.up.HeardAt = heard
	e.up.Cache = e.cache.view()
	if e.gone != beat.Leave || e.ref == 0 {
		r.turns++
	}
	e.left = beat.Leave
	e.gone = beat.Leave
	r.refer(e, refOf(beat))
	e.expires = now.Add(remaining)
	r.changed()
}

// refer makes an entry known under another reference.
func (r *Registry) refer(e *entry, ref uint64) {
	if e.ref == ref {
		return
	}
	delete(r.byRef, e.ref)
	e.ref = ref
	r.byRef[ref] = e
}

// Expire ends the upstreams whose lifetime ran out and returns their names.
func (r *Registry) Expire(now time.Time) []string {
	var names []string
	for name, e := range r.entries {
		switch {
		case e.gone && now.Sub(e.expires) > ForgetAfter:
			delete(r.entries, name)
			delete(r.byRef, e.ref)
		case !e.gone && !now.Before(e.expires):
			e.gone = true
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		r.turns++
		sort.Strings(names)
		r.changed()
	}
	return names
}

// Aged returns a beat as it is to be relayed after it was held for a while; false
// when it keeps nothing alive any more and need not be relayed.
func Aged(m Relayed, held time.Duration) (Relayed, bool) {
	m.Remaining -= held
	m.Age += held
	return m, m.Remaining > 0 || m.Beat.Leave
}

// Turns counts how often an upstream came or went, which a View should tell at
// once, where changes of load can wait to be told together.
func (r *Registry) Turns() uint64 { return r.turns }

func (r *Registry) changed() {
	r.version++
	r.view = nil
}

// View returns the upstreams that may be given new work, ordered by name. Call
// Expire before it.
func (r *Registry) View() *View {
	if r.view != nil {
		return r.view
	}
	v := &View{Version: r.version, byName: map[string]int{}}
	for _, e := range r.entries {
		if !e.gone {
			v.Upstreams = append(v.Upstreams, e.up)
		}
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].Name < v.Upstreams[j].Name })
	for i := range v.Upstreams {
		v.byName[v.Upstreams[i].Name] = i
	}
	r.view = v
	return v
}
