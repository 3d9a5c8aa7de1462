// Package follow keeps the serving state at an instance that holds no control
// state: it asks members of the control group in turn, one at a time, and knows
// until when what it has may be acted on.
//
// The lease counts from the moment the question was sent, plus the time for which
// the member held it before a quorum confirmed the answer: a change that was
// acknowledged before that moment is in the answer. So an instance that is cut off,
// frozen or suspended can't act on a table for longer than the lease.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/meter"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// Defaults of a Config.
const (
	// DefaultHold is for how long a member holds a question without news. It is also
	// how old the loads of other instances may get. While upstreams are busy questions
	// are held for DefaultBusyHold only: loads are worth more then than the processor
	// time that asking takes.
	DefaultHold     = 250 * time.Millisecond
	DefaultBusyHold = 120 * time.Millisecond
	// DefaultSlack is what an answer may take beyond the hold before the next
	// member is asked.
	DefaultSlack = 600 * time.Millisecond
)

// retryPause is the pause after a question that was not answered.
const retryPause = 50 * time.Millisecond

// Links is what this service needs of instance/link.
type Links interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// Config of a Follower.
type Config struct {
	Links Links
	// Domain is the failure domain of this instance.
	Domain string
	// Seeds returns the names of members to begin with.
	Seeds func() []string
	// Lease is for how long a confirmed state may be acted on.
	Lease time.Duration
	// Hold and Slack; zero means the defaults.
	Hold, Slack time.Duration
	// Report returns the work of this instance, and OnReport is told that of all
	// others; both may be nil.
	Report   func() servingsvc.Report
	OnReport func(*servingsvc.Report)
	// Meter counts requests for usage reports; nil where there are none.
	Meter *meter.Meter
	Log   zerolog.Logger
}

// View is the state at one moment. It is immutable.
type View struct {
	// Index is the log index of the state.
	Index uint64
	// Routes is the index of the table in force; nil while there is none.
	Routes *route.Index
	// Upstreams holds all incarnations by ID.
	Upstreams map[string]*serving.Upstream
	// Forwarders is how many instances forward requests, at least one.
	Forwarders int
	// Quarantine lists the requests that are kept from upstreams; nil for none.
	Quarantine *Quarantine
}

// Knows reports whether an incarnation is known by the log index at which it was first heard of.
func (v *View) Knows(begun uint64) bool {
	for _, u := range v.Upstreams {
		if u.FirstIndex == begun {
			return true
		}
	}
	return false
}

// Follower is the state at this instance. It is safe for concurrent use.
type Follower struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	view   atomic.Pointer[View]
	// until is the end of the lease, and confirmed the moment it counts from, in
	// nanoseconds of clock.Now; zero when there was none.
	until, confirmed atomic.Int64
	subscribers      []func(*View)

	// reachable are the members, the one that is asked now first.
	reachable atomic.Pointer[[]string]

	// The rest belongs to the goroutine.
	members []string
	current string
	inTouch bool
	// domains are the failure domains of members, failed when they last failed to answer.
	domains map[string]string
	failed  map[string]time.Time
	// told is up to where toldBy has told the others' work.
	told   uint64
	toldBy string
	// othersBusy says that other instances find upstreams busy.
	othersBusy bool
	// settled says that the agreed time of the member that answered last is settled.
	settled bool
}

// New returns a follower that has not started.
func New(cfg Config) *Follower {
	if cfg.Hold <= 0 {
		cfg.Hold = DefaultHold
	}
	if cfg.Slack <= 0 {
		cfg.Slack = DefaultSlack
	}
	f := &Follower{cfg: cfg, domains: map[string]string{}, failed: map[string]time.Time{}}
	f.view.Store(&View{Upstreams: map[string]*serving.Upstream{}, Forwarders: 1})
	return f
}

// Subscribe calls g with each new view, from the follower's goroutine. Subscribe
// before Start.
func (f *Follower) Subscribe(g func(*View)) { f.subscribers = append(f.subscribers, g) }

// View returns the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// Lease returns for how long the view may still be acted on; zero or less when the
// lease has run out.
func (f *Follower) Lease() time.Duration {
	return time.Duration(f.until.Load() - clock.Now().UnixNano())
}

// Age returns how long ago the view was confirmed to be the newest.
func (f *Follower) Age() time.Duration {
	return time.Duration(clock.Now().UnixNano() - f.confirmed.Load())
}

// Members returns the members that are known, the one that is asked now first.
func (f *Follower) Members() []string {
	if list := f.reachable.Load(); list != nil {
		return *list
	}
	return nil
}

func (f *Follower) publishMembers() {
	if list := f.Members(); f.current == "" || len(list) == len(f.members) && list[0] == f.current {
		return
	}
	list := []string{f.current}
	for _, name := range f.members {
		if name != f.current {
			list = append(list, name)
		}
	}
	f.reachable.Store(&list)
}

// Start implements kernel.Service.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Go(func() { f.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (f *Follower) Stop(context.Context) error {
	if f.cancel != nil {
		f.cancel()
		f.done.Wait()
	}
	return nil
}

func (f *Follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if f.current == "" {
			f.current = f.next()
		}
		f.publishMembers()
		if f.current != "" && f.ask(ctx, f.current) {
			failures = 0
			f.current = f.nearer()
			continue
		}
		f.lost()
		f.failed[f.current] = clock.Now()
		f.current = f.next()
		failures++
		if failures%max(1, len(f.members)) == 0 || f.current == "" {
			clock.Sleep(ctx, retryPause)
		}
	}
}

// next returns the member to ask after the current one. The order is drawn anew
// whenever the members change, so that the instances spread over them.
func (f *Follower) next() string {
	for _, seed := range f.cfg.Seeds() {
		if !slices.Contains(f.members, seed) {
			f.members = append(f.members, seed)
			rand.Shuffle(len(f.members), func(i, j int) { f.members[i], f.members[j] = f.members[j], f.members[i] })
		}
	}
	if len(f.members) == 0 {
		return ""
	}
	i := slices.Index(f.members, f.current)
	return f.members[(i+1)%len(f.members)]
}

// retryNear is after what time a member that failed to answer is preferred again for its
// nearness.
const retryNear = 5 * time.Second

// nearer returns a member of the own failure domain, or one whose domain is not known yet,
// and else the current one. The answers hold the work of all instances several times a
// second: from members anywhere, two thirds of them crossed domains among three.
func (f *Follower) nearer() string {
	if f.domains[f.current] == f.cfg.Domain {
		return f.current
	}
	best := f.current
	for _, name := range f.members {
		domain, known := f.domains[name]
		if clock.Since(f.failed[name]) < retryNear || known && domain != f.cfg.Domain {
			continue
		}
		best = name
		if known {
			break
		}
	}
	return best
}

// ask puts one question and reports whether the member is one to stay with.
func (f *Follower) ask(ctx context.Context, name string) bool {
	view := f.view.Load()
	q := servingsvc.WatchRequest{Index: view.Index, Forwards: true, Quarantine: view.Quarantine.index()}
	if f.cfg.Report != nil {
		q.Report = f.cfg.Report()
	}
	hold := f.hold(&q.Report)
	q.MaxWaitMS = hold.Milliseconds()
	if f.toldBy == name {
		q.NextPlacement = f.told
	}
	revision := f.meter(&q, name)
	ctx, cancel := context.WithTimeout(ctx, hold+f.cfg.Slack)
	defer cancel()
	sent := clock.Now()
	var a servingsvc.WatchResponse
	if err := f.cfg.Links.Call(ctx, name, servingsvc.ChannelWatch, q, &a); err != nil {
		f.cfg.Log.Debug().Str("event", "watch_failed").Str("peer", name).Err(err).Msg("a member did not answer")
		return false
	}
	if err := a.Decode(); err != nil {
		f.cfg.Log.Error().Str("event", "watch_unreadable").Str("peer", name).Err(err).Msg("the changes of a member can't be read")
		return false
	}
	f.metered(&q, &a, revision, name, sent)
	f.domains[name] = a.Domain
	f.take(view, &a)
	f.told, f.toldBy, f.othersBusy = a.NextPlacement, name, a.Summary.Busy
	f.tellOthers(&a.Summary, &q.Report.Work)
	if !a.Confirmed {
		return false
	}
	at := sent.Add(time.Duration(a.WaitedMS) * time.Millisecond)
	f.confirmed.Store(at.UnixNano())
	f.until.Store(at.Add(f.cfg.Lease).UnixNano())
	f.regained(name)
	return true
}

// meter puts what was counted here into a question.
func (f *Follower) meter(q *servingsvc.WatchRequest, member string) (revision uint64) {
	if f.cfg.Meter == nil {
		return 0
	}
	report, revision := f.cfg.Meter.Report(member)
	if !report.Empty() {
		q.Usage = &report
	}
	if !f.settled {
		q.Wall = time.Now().UnixNano()
	}
	return revision
}

// metered notes that a member has taken in what was counted here, and takes in its agreed
// time.
func (f *Follower) metered(q *servingsvc.WatchRequest, a *servingsvc.WatchResponse, revision uint64, member string, sent time.Time) {
	if f.cfg.Meter == nil {
		return
	}
	if q.Usage != nil {
		f.cfg.Meter.Told(q.Usage, revision, member)
	}
	f.settled = a.Settled
	if a.Agreed != 0 {
		f.cfg.Meter.Observe(sent, clock.Now(), time.Duration(a.WaitedMS)*time.Millisecond, time.Unix(0, a.Agreed))
	}
}

// tellOthers passes on what all other instances have under way.
func (f *Follower) tellOthers(s *servingsvc.Summary, own *servingsvc.Work) {
	if f.cfg.OnReport == nil {
		return
	}
	others, err := s.Others(own)
	if err != nil {
		f.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Str("peer", f.current).Msg("the loads of all can't be read")
		return
	}
	f.cfg.OnReport(others)
}

// hold returns for how long the next question may be held.
func (f *Follower) hold(own *servingsvc.Report) time.Duration {
	switch {
	case f.Lease() <= 0:
		return 0
	case own.Busy || f.othersBusy:
		return min(f.cfg.Hold, DefaultBusyHold)
	}
	return f.cfg.Hold
}

// take brings in the changes. What is older than the view changes nothing: a view
// never goes back.
func (f *Follower) take(old *View, a *servingsvc.WatchResponse) {
	if len(a.Members) > 0 {
		f.learnMembers(a.Members)
	}
	if a.Changes.Index <= old.Index && a.Forwarders == old.Forwarders && a.Quarantine == nil {
		return
	}
	next := &View{
		Index: max(old.Index, a.Changes.Index), Routes: old.Routes, Upstreams: old.Upstreams, Forwarders: max(1, a.Forwarders),
		Quarantine: old.Quarantine.merge(a.Quarantine),
	}
	if a.Changes.Index > old.Index {
		if !f.takeTable(next, &a.Changes) {
			return
		}
		next.Upstreams = merge(old.Upstreams, &a.Changes)
	}
	f.view.Store(next)
	for _, g := range f.subscribers {
		g(next)
	}
}

func (f *Follower) takeTable(next *View, c *serving.Changes) bool {
	if len(c.Table) == 0 {
		return true
	}
	t := &route.Table{}
	if err := corecontrol.Unmarshal(c.Table, t); err != nil {
		f.cfg.Log.Error().Err(err).Str("event", "table_unreadable").Uint64("version", c.Version).Msg("a table can't be read; the one before stays")
		return false
	}
	next.Routes = route.NewIndex(t)
	f.cfg.Log.Info().Str("event", "table_in_force").Uint64("version", t.Version).Uint64("index", c.Index).
		Int("routes", len(t.Routes)).Str("peer", f.current).Msg("a table is in force here")
	return true
}

func merge(old map[string]*serving.Upstream, c *serving.Changes) map[string]*serving.Upstream {
	next := make(map[string]*serving.Upstream, len(old)+len(c.Upstreams))
	if !c.Full {
		for id, u := range old {
			next[id] = u
		}
	}
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if u.State == serving.Gone {
			delete(next, u.ID)
			continue
		}
		next[u.ID] = u
	}
	return next
}

func (f *Follower) learnMembers(list []string) {
	same := len(list) == len(f.members)
	for _, name := range list {
		same = same && slices.Contains(f.members, name)
	}
	if same {
		return
	}
	f.members = slices.Clone(list)
	rand.Shuffle(len(f.members), func(i, j int) { f.members[i], f.members[j] = f.members[j], f.members[i] })
}

func (f *Follower) regained(name string) {
	if f.inTouch {
		return
	}
	f.inTouch = true
	f.cfg.Log.Info().Str("event", "control_regained").Str("peer", name).Uint64("index", f.view.Load().Index).Msg("a member of the control group answers")
}

func (f *Follower) lost() {
	if !f.inTouch || f.Age() < f.cfg.Hold+f.cfg.Slack {
		return
	}
	f.inTouch = false
	f.cfg.Log.Warn().Str("event", "control_lost").Str("peer", f.current).Dur("lease_left", f.Lease()).Msg("no member of the control group answers")
}
