// Package registry maintains a failure domain's view of its upstreams, built from their
// announcements. It is a pure state machine: time is passed in, and beats are values that a
// service transports between the instances of the domain.
package registry

import (
	"sort"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
)

// Limits of a Registry.
const (
	// MaxSilence is how long after its last beat an upstream is given new work, whatever
	// lifetime the beat requests. It is three beat intervals of one second, so two lost
	// beats do no harm.
	MaxSilence = 3 * time.Second
	// ForgetAfter is how long an inactive upstream is remembered, so that its late beats
	// are recognised as late. It exceeds any delay of a beat.
	ForgetAfter = 10 * time.Minute
	// MaxUpstreams limits the memory that announcements can take.
	MaxUpstreams = 4096
	// MaxPrefixes limits the known cache entries of one upstream; the oldest known are
	// dropped first.
	MaxPrefixes = 16_384
)

// RelayedBeat is a beat relayed between instances.
type RelayedBeat struct {
	Beat announce.Heartbeat `codec:"b"`
	// Remaining is how long the beat still keeps the upstream alive.
	Remaining time.Duration `codec:"r"`
	// Age is the time since the beat reached the failure domain.
	Age time.Duration `codec:"a"`
}

// Upstream is an immutable view of one upstream that may be given new work.
type Upstream struct {
	// Heartbeat is the latest beat, without its load report and its cache events.
	announce.Heartbeat
	// HeardAt is when the beat reached the failure domain.
	HeardAt time.Time
	// Load is the latest load report, or nil; LoadAt is when it was measured.
	Load   *announce.Load
	LoadAt time.Time
	// Cache is the view of the prefixes that the upstream holds.
	Cache *Cache
}

// View is an immutable snapshot of the upstreams that may be given new work.
type View struct {
	// Version increases with each change.
	Version   uint64
	Upstreams []Upstream
	byName    map[string]int
}

// Find returns the upstream with the given name, or nil.
func (v *View) Find(name string) *Upstream {
	i, ok := v.byName[name]
	if !ok {
		return nil
	}
	return &v.Upstreams[i]
}

type entry struct {
	upstream Upstream
	expires  time.Time // no new work from then on
	inactive bool      // left or expired
	left     bool
	cache    cache
	ref      uint64 // refOf the latest beat; zero before the first one
}

// Registry is one instance's view of the upstreams of its failure domain. It is not safe
// for concurrent use; a View is.
type Registry struct {
	domain            string
	entries           map[string]*entry
	byRef             map[uint64]*entry
	version           uint64
	membershipChanges uint64
	view              *View
}

// New returns an empty Registry of a failure domain.
func New(domain string) *Registry {
	return &Registry{domain: domain, entries: map[string]*entry{}, byRef: map[uint64]*entry{}}
}

// Outcome is the result of processing a beat.
type Outcome uint8

// The outcomes of Apply, ApplyRelayed and ApplyCompact.
const (
	// Accepted beats are to be relayed to the other instances of the domain.
	Accepted Outcome = iota + 1
	// Stale beats are no newer than the latest known one.
	Stale
	// WrongDomain beats belong to another failure domain.
	WrongDomain
	// Full means that MaxUpstreams upstreams are already known.
	Full
	// Expired beats have no lifetime left.
	Expired
	// Unknown is returned for a compact beat whose omitted fields are not known.
	Unknown
)

// Apply processes a beat that the upstream itself sent to this instance.
func (r *Registry) Apply(now time.Time, beat announce.Heartbeat) Outcome {
	return r.ApplyRelayed(now, RelayedBeat{Beat: beat, Remaining: min(beat.TTL(), MaxSilence)})
}

// ApplyRelayed processes a beat with its remaining lifetime. Beats are ordered by
// incarnation and sequence, so a late or duplicate one changes nothing: it neither revives
// an upstream that left or expired nor extends its lifetime. The remaining lifetime never
// grows when a beat is relayed, so instances that relay beats to each other cannot keep a
// dead upstream alive.
func (r *Registry) ApplyRelayed(now time.Time, m RelayedBeat) Outcome {
	beat := m.Beat
	if beat.Domain != r.domain {
		return WrongDomain
	}
	e := r.entries[beat.Name]
	if e != nil && !beat.Newer(e.upstream.Incarnation, e.upstream.Sequence) {
		return Stale
	}
	if e != nil && e.left && beat.Incarnation == e.upstream.Incarnation {
		// A leave is final for an incarnation: a later beat can only come from a process
		// that has not ended yet.
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

func (r *Registry) accept(now time.Time, e *entry, m RelayedBeat, remaining time.Duration) {
	beat := m.Beat
	restarted := beat.Incarnation != e.upstream.Incarnation
	becameCold := statesCold(&beat) && !statesCold(&e.upstream.Heartbeat)
	if e.ref == 0 || e.inactive != beat.Leave || restarted || becameCold {
		r.membershipChanges++
	}
	if restarted {
		// A restarted process has an empty cache and no load report.
		e.cache = cache{}
		e.upstream.Load = nil
	}
	heardAt := now.Add(-max(m.Age, 0))
	if beat.Load != nil {
		e.upstream.Load = beat.Load
		e.upstream.LoadAt = heardAt.Add(-time.Duration(beat.Load.AgeMillis) * time.Millisecond)
	}
	e.cache.apply(beat.Cache)
	beat.Cache, beat.Load = nil, nil
	e.upstream.Heartbeat = beat
	e.upstream.HeardAt = heardAt
	e.upstream.Cache = e.cache.view()
	e.left = beat.Leave
	e.inactive = beat.Leave
	r.setRef(e, refOf(beat))
	e.expires = now.Add(remaining)
	r.invalidateView()
}

// setRef updates the reference under which an entry is found.
func (r *Registry) setRef(e *entry, ref uint64) {
	if e.ref == ref {
		return
	}
	delete(r.byRef, e.ref)
	e.ref = ref
	r.byRef[ref] = e
}

// Expire deactivates the upstreams whose lifetime has ended and returns their names.
func (r *Registry) Expire(now time.Time) []string {
	var names []string
	for name, e := range r.entries {
		switch {
		case e.inactive && now.Sub(e.expires) > ForgetAfter:
			delete(r.entries, name)
			delete(r.byRef, e.ref)
		case !e.inactive && !now.Before(e.expires):
			e.inactive = true
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		r.membershipChanges++
		sort.Strings(names)
		r.invalidateView()
	}
	return names
}

// WithDelay returns a beat to be relayed after it was held for the given time. It returns
// false if the beat no longer keeps its upstream alive and need not be relayed.
func WithDelay(m RelayedBeat, held time.Duration) (RelayedBeat, bool) {
	m.Remaining -= held
	m.Age += held
	return m, m.Remaining > 0 || m.Beat.Leave
}

// MembershipChanges counts how often an upstream appeared, disappeared, started again or became cold. A View should be
// published at once after such a change, while changes of load can be batched.
func (r *Registry) MembershipChanges() uint64 { return r.membershipChanges }

func (r *Registry) invalidateView() {
	r.version++
	r.view = nil
}

// View returns the upstreams that may be given new work, sorted by name. Call Expire before
// it.
func (r *Registry) View() *View {
	if r.view != nil {
		return r.view
	}
	v := &View{Version: r.version, byName: map[string]int{}}
	for _, e := range r.entries {
		if !e.inactive {
			v.Upstreams = append(v.Upstreams, e.upstream)
		}
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].Name < v.Upstreams[j].Name })
	for i := range v.Upstreams {
		v.byName[v.Upstreams[i].Name] = i
	}
	r.view = v
	return v
}
