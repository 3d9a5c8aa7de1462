// Package warmup keeps the requests of all instances of the own daemon to a cold engine within the bound
// of the engine's rule in the intent. Each instance determines by itself which engines are cold
// (core/warmup) and sends a cold one nothing without a permit of the leader of the control group
// (instance/ratelimit). Without a warm-up rate in the intent, it does nothing.
package warmup

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Permits are the permits of this instance. Times are those of clock.Now.
type Permits interface {
	// Available reports whether there is a permit, and AddDemand requests one.
	Available(upstream uint64) bool
	AddDemand(upstream uint64, urgency int)
	// UseUntil uses a permit and returns until when the request may be sent, or false if there is
	// none. ReturnUntil returns one that was not used.
	UseUntil(upstream uint64, urgency int) (until time.Time, ok bool)
	ReturnUntil(upstream uint64, until time.Time)
}

// Rule is the part of an intent that concerns an engine. The zero value limits nothing.
type Rule struct {
	Name    string
	Limited bool
	// ColdFor is how long an engine is cold after a start, unless it states that itself.
	ColdFor time.Duration
}

// Engine is an engine as the registry knows it.
type Engine struct {
	Name                  string
	Incarnation, Sequence uint64
	Models                []string
	// LeftMillis is for how long the engine stays cold by its latest heartbeat; nil if it does not say.
	LeftMillis *int64
	// Age is the time since that heartbeat.
	Age  time.Duration
	Rule Rule
}

// ErrNoPermit is returned directly before a request would be sent to a cold engine without a permit,
// or with one that has expired.
var ErrNoPermit = fault.New(fault.NotRun, "the engine is cold and there is no permit for the request").WithRetryAfter(time.Second)

// IsNoPermit reports whether err is due to ErrNoPermit. errors.Is compares only codes.
func IsNoPermit(err error) bool {
	var f *fault.Error
	return errors.As(err, &f) && f == ErrNoPermit
}

// forgetAfter is how long an engine is remembered that sends no heartbeats, as in core/registry.
const forgetAfter = 10 * time.Minute

// state is what this instance knows of one incarnation of an engine.
type state struct {
	Engine
	cold warmup.Cold
	// heardAt is the time of its latest heartbeat, seenAt when it was last listed.
	heardAt, seenAt time.Time
	// listed is set while it sends heartbeats.
	listed bool
}

// isCold reports whether a request to the engine needs a permit. So does one to an engine that is silent:
// this instance may have been suspended, and the engine may have started again meanwhile.
func (e *state) isCold(now time.Time) bool {
	if !e.Rule.Limited {
		return false
	}
	silent := !e.listed || now.Sub(e.heardAt) > registry.MaxSilence
	return silent || e.cold.Is(now, silent, func() time.Time { return e.heardAt })
}

// serves reports whether the engine is listed and holds a model.
func (e *state) serves(model string) bool { return e.listed && slices.Contains(e.Models, model) }

// permitID is the same for all incarnations of the engine.
func (e *state) permitID() uint64 { return warmup.PermitID(e.Rule.Name, e.Name) }

// Config configures a Guard.
type Config struct {
	Permits Permits
	// RuleOf returns the rule of an engine by its name: the scheduler of the domain may grant an engine
	// before a heartbeat has shown it here.
	RuleOf func(engine string) Rule
	Log    zerolog.Logger
	// Now returns the time; nil stands for clock.Now.
	Now func() time.Time
}

// Guard decides which cold engines may receive a request of this instance. It is safe for concurrent use.
// A nil *Guard permits everything.
type Guard struct {
	cfg Config
	// limits is set while any rule has a rate.
	limits atomic.Bool
	// sent and expired count the requests to cold engines and the permits that were too old directly
	// before the request would have been sent.
	sent, expired atomic.Uint64

	mu      sync.Mutex
	engines map[string]*state
	// models holds the listed engines by model, unsettled those that are limited and may be cold until
	// silentAt. From then on any may be, as the first limited one has fallen silent.
	models    map[string][]*state
	unsettled []*state
	silentAt  time.Time
}

// New returns a guard that knows no engines.
func New(cfg Config) *Guard {
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	return &Guard{cfg: cfg, engines: map[string]*state{}}
}

// Update replaces the list of engines. limits says whether any rule has a rate.
func (g *Guard) Update(list []Engine, limits bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	for _, e := range g.engines {
		e.listed = false
	}
	for _, e := range list {
		g.update(now, e)
	}
	for name, e := range g.engines {
		if !e.listed && now.Sub(e.seenAt) > forgetAfter {
			delete(g.engines, name)
		}
	}
	g.index(now)
	g.limits.Store(limits)
}

// index groups the listed engines, so that a request looks only at those that may be cold. The caller holds mu.
func (g *Guard) index(now time.Time) {
	g.models, g.unsettled, g.silentAt = map[string][]*state{}, nil, now.Add(registry.MaxSilence)
	for _, e := range g.engines {
		if !e.listed {
			continue
		}
		for _, m := range e.Models {
			if list := g.models[m]; len(list) == 0 || list[len(list)-1] != e {
				g.models[m] = append(list, e)
			}
		}
		if !e.Rule.Limited {
			continue
		}
		if !e.cold.Settled(now) {
			g.unsettled = append(g.unsettled, e)
		}
		if at := e.heardAt.Add(registry.MaxSilence); at.Before(g.silentAt) {
			g.silentAt = at
		}
	}
}

// unsettle adds an engine to those that may be cold. The caller holds mu.
func (g *Guard) unsettle(e *state) {
	if !slices.Contains(g.unsettled, e) {
		g.unsettled = append(g.unsettled, e)
	}
}

// update records an engine that is listed. The caller holds mu.
func (g *Guard) update(now time.Time, e Engine) {
	s := g.engines[e.Name]
	if s != nil && s.Incarnation > e.Incarnation {
		return
	}
	started := s == nil || s.Incarnation != e.Incarnation
	if started {
		s = &state{}
		g.engines[e.Name] = s
	}
	if e.Sequence != s.Sequence || started {
		s.heardAt = now.Add(-e.Age)
	}
	s.Engine, s.listed, s.seenAt = e, true, now
	was := s.cold.Left(now) > 0
	switch {
	case e.LeftMillis != nil:
		if s.cold.Report(now, e.Sequence, *e.LeftMillis); !was && s.cold.Left(now) > 0 {
			g.logCold(s, "reported")
		}
	case started && e.Rule.ColdFor > 0:
		s.cold.Presume(now, e.Rule.ColdFor)
		g.logCold(s, "started")
	}
}

// logCold logs that an engine counts as cold, if its rule has a rate.
func (g *Guard) logCold(s *state, reason string) {
	if s.Rule.Limited {
		g.cfg.Log.Info().Str("event", "upstream_cold").Str("upstream", s.Name).Str("reason", reason).
			Dur("left", s.cold.Left(g.cfg.Now())).Msg("an engine is cold")
	}
}

// Limits reports whether any rule has a rate.
func (g *Guard) Limits() bool { return g != nil && g.limits.Load() }

// Withhold returns the cold engines of a model for which there is no permit, and whether these are all
// engines of the model besides the excluded ones. If demand is set, it requests permits for them.
func (g *Guard) Withhold(model string, urgency int, excluded []string, demand bool) (names []string, all bool) {
	if !g.Limits() {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	suspects := g.unsettled
	if now.After(g.silentAt) {
		suspects = g.models[model]
	}
	for _, e := range suspects {
		if !e.serves(model) || slices.Contains(excluded, e.Name) || !e.isCold(now) || g.cfg.Permits.Available(e.permitID()) {
			continue
		}
		if names = append(names, e.Name); demand {
			g.cfg.Permits.AddDemand(e.permitID(), urgency)
		}
	}
	return names, len(names) > 0 && len(names) == len(g.models[model])-g.countExcluded(model, excluded)
}

// countExcluded returns how many listed engines of a model are excluded. The caller holds mu.
func (g *Guard) countExcluded(model string, excluded []string) (n int) {
	for i, name := range excluded {
		if e := g.engines[name]; e != nil && e.serves(model) && !slices.Contains(excluded[:i], name) {
			n++
		}
	}
	return n
}

// Permit permits one request to an engine, which may be warm. The zero value permits everything.
type Permit struct {
	guard       *Guard
	name        string
	incarnation uint64
	id          uint64
	until       time.Time
}

// Use returns a permit for a request to an engine, and false if that is cold and there is none.
func (g *Guard) Use(name string, urgency int) (Permit, bool) {
	if !g.Limits() {
		return Permit{}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Permit{guard: g, name: name}
	if e := g.engines[name]; e != nil {
		p.incarnation, p.id = e.Incarnation, e.permitID()
		if !e.isCold(g.cfg.Now()) {
			return p, true
		}
	} else {
		// The scheduler of the domain knows an engine that has just started before this instance does.
		rule := g.cfg.RuleOf(name)
		if !rule.Limited {
			return Permit{}, true
		}
		p.id = warmup.PermitID(rule.Name, name)
	}
	until, ok := g.cfg.Permits.UseUntil(p.id, urgency)
	if !ok {
		g.cfg.Permits.AddDemand(p.id, urgency)
	}
	p.until = until
	return p, ok
}

// Check fails with ErrNoPermit if the request may not be sent now: connecting takes time, the process may
// have been suspended, and the engine may have started again since Use.
func (p *Permit) Check() error {
	g := p.guard
	if !g.Limits() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	e := g.engines[p.name]
	switch {
	case e != nil && !e.Rule.Limited:
		return nil
	case !p.until.IsZero() && now.Before(p.until):
		g.sent.Add(1)
		return nil
	case e != nil && e.Incarnation == p.incarnation && !e.isCold(now):
		return nil
	case !p.until.IsZero():
		g.expired.Add(1)
	}
	return ErrNoPermit
}

// Return returns the permit of a request that did not reach the engine. It keeps its end.
func (p *Permit) Return() {
	if !p.until.IsZero() {
		p.guard.cfg.Permits.ReturnUntil(p.id, p.until)
		p.until = time.Time{}
	}
}

// Refused records that nothing listens at the address of an engine: whichever process answers next has
// just started.
func (g *Guard) Refused(name string) { g.suspect(name, "ended", (*warmup.Cold).Ended) }

// Lost records that a connection to an engine was lost: another process may run at its address. The
// next heartbeats tell.
func (g *Guard) Lost(name string) { g.suspect(name, "connection lost", (*warmup.Cold).Doubt) }

func (g *Guard) suspect(name, reason string, record func(c *warmup.Cold, now time.Time, left time.Duration)) {
	if !g.Limits() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[name]
	if e == nil || !e.Rule.Limited {
		return
	}
	now := g.cfg.Now()
	was := e.isCold(now)
	record(&e.cold, now, e.Rule.ColdFor)
	g.unsettle(e)
	if !was && e.isCold(now) {
		g.logCold(e, reason)
	}
}

// Stated records for how long an engine stays cold by an answer of its health path.
func (g *Guard) Stated(name string, left time.Duration) {
	if !g.Limits() || left <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.engines[name]; e != nil {
		e.cold.Presume(g.cfg.Now(), left)
		g.unsettle(e)
		g.logCold(e, "health")
	}
}

// Cold returns the number of engines that are cold and limited.
func (g *Guard) Cold() (n int) {
	if !g.Limits() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	for _, e := range g.engines {
		if e.listed && e.isCold(now) {
			n++
		}
	}
	return n
}

// Sent returns the number of requests that were sent to cold engines.
func (g *Guard) Sent() uint64 { return g.sent.Load() }

// Expired returns the number of permits that were too old directly before their requests would have been
// sent.
func (g *Guard) Expired() uint64 { return g.expired.Load() }
