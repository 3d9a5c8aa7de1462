// Package follow keeps the serving state up to date on an instance that holds no
// control state: it long-polls one member of the control group at a time, and tracks
// the lease until whose end the received state may be used.
//
// The lease starts at the moment the request was sent, plus the time for which the
// member held the request before a quorum confirmed the answer: a change that was
// acknowledged before that moment is in the answer. So an instance that is cut off,
// frozen or suspended cannot use a table for longer than the lease.
//
// A view is published once a quorum has confirmed it or an older one: a member that has
// restarted answers with the state of its snapshot until it has a leader, and that state
// may lack changes that were acknowledged long ago. A lease belongs to one view, so that
// what was decided by a view never rests on a confirmation of a later one.
package follow

import (
	"cmp"
	"context"
	"math"
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
	// DefaultHold is how long a member holds a request while nothing changes. It also
	// bounds the age of the loads of other instances. While upstreams are busy, requests
	// are held for DefaultBusyHold only: fresh loads are then worth the processor time
	// of more frequent requests.
	DefaultHold     = 250 * time.Millisecond
	DefaultBusyHold = 60 * time.Millisecond
	// DefaultSlack is how long an answer may take in addition to the hold time before
	// the next member is asked.
	DefaultSlack = 600 * time.Millisecond
)

// retryPause is the pause after all known members have failed to answer.
const retryPause = 50 * time.Millisecond

// Links is what this service needs of instance/link.
type Links interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
	Send(to, channel string, msg any) error
}

// Config configures a Follower.
type Config struct {
	Links Links
	// Domain is the failure domain of this instance.
	Domain string
	// Seeds returns the names of the members to ask initially.
	Seeds func() []string
	// Lease is how long a confirmed state may be used.
	Lease time.Duration
	// Hold and Slack override the defaults if they are positive.
	Hold, Slack time.Duration
	// Report returns the work of this instance, and OnReport receives the combined work
	// of all others; both may be nil.
	Report   func() servingsvc.Report
	OnReport func(*servingsvc.Report)
	// LoadUpdate returns the loads that changed, for PushLoads, and ToldLoads the loads of this
	// instance that are part of the sum of all. Both are set together or nil.
	LoadUpdate func() servingsvc.LoadUpdate
	ToldLoads  func() []servingsvc.Load
	// Tunnels returns whether other instances may reach upstreams through this one, and whether this
	// one needs them for that now; nil if there are no tunnels.
	Tunnels func() (serves, needs bool)
	// Meter counts requests for usage reports; nil disables reporting.
	Meter *meter.Meter
	Log   zerolog.Logger
}

// View is a snapshot of the serving state. It is immutable.
type View struct {
	// Index is the log index of the state.
	Index uint64
	// Routes is the index of the table in force; nil while there is none.
	Routes *route.Index
	// Upstreams holds all incarnations. Changed lists how they differ from those of the view with
	// the index Since; it does not hold if Since equals Index.
	Upstreams *Upstreams
	Since     uint64
	Changed   []Change
	// Forwarders is the number of instances that forward requests, at least one.
	Forwarders int
	// Rank is the position of this instance among them, counted from one; zero if it is not known.
	Rank int
	// Quarantine lists the quarantined and suspected requests; nil for none.
	Quarantine *Quarantine

	// leaseUntil is the end of the view's lease in nanoseconds of clock.Now, zero before the first
	// one; nil for a view that does not come from a Follower.
	leaseUntil *atomic.Int64
}

// Lease returns how long the view may still be used; zero or less when its lease has expired.
func (v *View) Lease() time.Duration {
	if v.leaseUntil == nil {
		return 0
	}
	return time.Duration(v.leaseUntil.Load() - clock.Now().UnixNano())
}

// After returns the view after changes of the upstreams.
func (v *View) After(c *serving.Changes) *View {
	next := *v
	next.Index = c.Index
	next.applyUpstreams(v, c)
	return &next
}

// applyUpstreams sets the upstreams to those of the preceding view with changes.
func (v *View) applyUpstreams(old *View, c *serving.Changes) {
	v.Since = old.Index
	v.Upstreams, v.Changed = old.Upstreams.merge(c)
}

// Knows reports whether the view contains the incarnation that was registered at a log index.
func (v *View) Knows(begun uint64) bool { return v.Upstreams.Registered(begun) != nil }

// Follower keeps the serving state of this instance. It is safe for concurrent use.
type Follower struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	// view is the published view.
	view atomic.Pointer[View]
	// loadsChanged holds an element while loads are to be sent.
	loadsChanged chan struct{}
	// leaseStart is the start of the latest lease in nanoseconds of clock.Now; zero before the
	// first one.
	leaseStart  atomic.Int64
	subscribers []func(*View)

	// reachable lists the members, beginning with the one that is currently asked.
	reachable atomic.Pointer[[]string]

	// peers lists instances through which upstreams can be reached.
	peers atomic.Pointer[[]string]

	slots slotCalls

	// The fields below belong to the goroutine.

	// received is the state as received so far, which is not published before it is whole and
	// confirmed.
	received *View
	// unconfirmed is the received table that was last logged as not confirmed.
	unconfirmed *route.Index
	peersAt     time.Time
	members     []string
	current     string
	inContact   bool
	// domains holds the failure domains of members, failedAt the times at which they
	// last failed to answer.
	domains  map[string]string
	failedAt map[string]time.Time
	// workSeen is the position up to which member workSource has sent the others' work.
	workSeen   uint64
	workSource string
	// othersBusy is set while other instances report busy upstreams.
	othersBusy bool
	// membersSum identifies the list of members that was received last; zero before the first one.
	membersSum uint64
	// inPages is set while further pages of the state are to be asked for; began is then where the
	// whole state began, zero if it is not read as a whole.
	inPages bool
	began   uint64
	// settled is set if the agreed time of the member that answered last is settled.
	settled bool
}

// New returns a follower that has not been started.
func New(cfg Config) *Follower {
	if cfg.Hold <= 0 {
		cfg.Hold = DefaultHold
	}
	if cfg.Slack <= 0 {
		cfg.Slack = DefaultSlack
	}
	f := &Follower{cfg: cfg, loadsChanged: make(chan struct{}, 1), domains: map[string]string{}, failedAt: map[string]time.Time{}}
	f.received = &View{Upstreams: NewUpstreams(), Forwarders: 1, leaseUntil: &atomic.Int64{}}
	f.view.Store(f.received)
	return f
}

// Subscribe registers g to be called with each new view, from the follower's
// goroutine. Call it before Start.
func (f *Follower) Subscribe(g func(*View)) { f.subscribers = append(f.subscribers, g) }

// View returns the newest view; one without a table until the first one is confirmed.
func (f *Follower) View() *View { return f.view.Load() }

// LeaseOf returns how long a view may still be used; zero or less when its lease has expired.
func (f *Follower) LeaseOf(v *View) time.Duration { return v.Lease() }

// Lease returns how long the newest view may still be used.
func (f *Follower) Lease() time.Duration { return f.View().Lease() }

// NeverConfirmed is the age of a view that was not confirmed yet.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Age returns the time since the view was confirmed to be the newest.
func (f *Follower) Age() time.Duration {
	at := f.leaseStart.Load()
	if at == 0 {
		return NeverConfirmed
	}
	return time.Duration(clock.Now().UnixNano() - at)
}

// Members returns the known members, beginning with the one that is currently asked.
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
	if f.cfg.LoadUpdate != nil {
		f.done.Go(func() { f.pushLoads(ctx) })
	}
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
			f.current = f.nextMember()
		}
		f.publishMembers()
		if f.current != "" && f.ask(ctx, f.current) {
			failures = 0
			f.current = f.preferredMember()
			continue
		}
		f.noteNoAnswer()
		f.failedAt[f.current] = clock.Now()
		f.current = f.nextMember()
		failures++
		if failures%max(1, len(f.members)) == 0 || f.current == "" {
			clock.Sleep(ctx, retryPause)
		}
	}
}

// nextMember returns the member to ask after the current one. The order is reshuffled
// whenever the members change, so that instances are spread evenly over members.
func (f *Follower) nextMember() string {
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

// preferAgainAfter is how long a member that failed to answer is not preferred for its
// failure domain.
const preferAgainAfter = 5 * time.Second

// preferredMember returns a member of the own failure domain; if there is none, a member
// whose domain is not known yet; and otherwise the current one. Answers carry the work of all
// instances several times a second: with random members in three failure domains, two thirds
// of the answers crossed domains.
func (f *Follower) preferredMember() string {
	if f.domains[f.current] == f.cfg.Domain {
		return f.current
	}
	best := f.current
	for _, name := range f.members {
		domain, known := f.domains[name]
		if clock.Since(f.failedAt[name]) < preferAgainAfter || known && domain != f.cfg.Domain {
			continue
		}
		best = name
		if known {
			break
		}
	}
	return best
}

// ask sends one request to a member and reports whether to keep asking this member.
func (f *Follower) ask(ctx context.Context, name string) bool {
	q := servingsvc.WatchRequest{
		Index: f.received.Index, Began: f.began, Forwards: true, Quarantine: f.received.Quarantine.LogIndex(), Compact: true, Continue: f.inPages,
		MembersSum: f.membersSum, MembersOnly: f.membersSum == 0,
	}
	if f.cfg.Report != nil {
		q.Report = f.cfg.Report()
	}
	hold := f.holdTime(&q)
	q.MaxWaitMS = hold.Milliseconds()
	if f.workSource == name {
		q.NextPlacement = f.workSeen
	}
	f.addTunnels(&q)
	if !q.MembersOnly {
		q.WantsRank, q.Domain = true, f.cfg.Domain
	}
	revision := f.addUsage(&q, name)
	ctx, cancel := context.WithTimeout(ctx, hold+f.cfg.Slack)
	defer cancel()
	sent := clock.Now()
	var a servingsvc.WatchResponse
	if err := f.cfg.Links.Call(ctx, name, servingsvc.ChannelWatch, q, &a); err != nil {
		f.cfg.Log.Debug().Str("event", "watch_failed").Str("peer", name).Err(err).Msg("control member did not answer")
		return false
	}
	if err := a.Decode(); err != nil {
		f.cfg.Log.Error().Str("event", "watch_unreadable").Str("peer", name).Err(err).Msg("cannot decode the changes from a control member")
		return false
	}
	f.handleUsageReply(&q, &a, revision, name, sent)
	f.recordMembers(name, &a)
	if q.MembersOnly && a.MembersSum != 0 {
		return true
	}
	if !f.receive(&a) {
		return false
	}
	if f.inPages {
		// A member that lags behind the received pages leaves them incomplete.
		return a.Changes.Index == f.received.Index
	}
	if a.Confirmed {
		f.renew(sent.Add(time.Duration(a.WaitedMS) * time.Millisecond))
	}
	if f.leaseStart.Load() != 0 {
		f.publish()
	} else {
		f.noteUnconfirmed()
	}
	f.takePeers(&q, &a)
	f.workSeen, f.workSource, f.othersBusy = a.NextPlacement, name, a.Summary.Busy
	f.passOthersWork(&a.Summary, &q.Report.Work)
	if !a.Confirmed {
		return false
	}
	f.noteContact(name)
	return true
}

// renew starts the lease of the received state at the time as of which it was confirmed.
func (f *Follower) renew(at time.Time) {
	f.received.leaseUntil.Store(at.Add(f.cfg.Lease).UnixNano())
	f.leaseStart.Store(at.UnixNano())
}

// addUsage adds this instance's usage counts to a request.
func (f *Follower) addUsage(q *servingsvc.WatchRequest, member string) (revision uint64) {
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

// handleUsageReply records that a member received this instance's usage counts, and
// processes the agreed time in the answer.
func (f *Follower) handleUsageReply(q *servingsvc.WatchRequest, a *servingsvc.WatchResponse, revision uint64, member string, sent time.Time) {
	if f.cfg.Meter == nil {
		return
	}
	if q.Usage != nil {
		f.cfg.Meter.Acknowledge(q.Usage, revision, member)
	}
	f.settled = a.Settled
	if a.Agreed != 0 {
		f.cfg.Meter.Observe(sent, clock.Now(), time.Duration(a.WaitedMS)*time.Millisecond, time.Unix(0, a.Agreed))
	}
}

// passOthersWork passes the combined work of all other instances to OnReport.
func (f *Follower) passOthersWork(s *servingsvc.Summary, own *servingsvc.Work) {
	if f.cfg.OnReport == nil {
		return
	}
	told := servingsvc.Work{Loads: own.Loads, Routes: own.Routes, Organisations: own.Organisations, Overloaded: own.Overloaded}
	if f.cfg.ToldLoads != nil {
		// Updates since the request are in the sum as well.
		told.Loads = f.cfg.ToldLoads()
	}
	others, err := s.Others(&told)
	if err != nil {
		f.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Str("peer", f.current).Msg("cannot decode the loads of other instances")
		return
	}
	f.cfg.OnReport(others)
}

// holdTime returns how long the member may hold the next request.
func (f *Follower) holdTime(q *servingsvc.WatchRequest) time.Duration {
	switch {
	case f.Lease() <= 0 || q.Continue:
		return 0
	case q.Report.Busy || f.othersBusy:
		return min(f.cfg.Hold, DefaultBusyHold)
	}
	return f.cfg.Hold
}

// receive adds the changes in an answer to the received state. It reports false if that state cannot
// be the one that a confirmation in the answer is about.
func (f *Follower) receive(a *servingsvc.WatchResponse) bool {
	old := f.received
	switch {
	case a.Changes.Index < old.Index && a.Confirmed:
		f.cfg.Log.Error().Str("event", "watch_outdated").Str("peer", f.current).Uint64("index", a.Changes.Index).Uint64("known", old.Index).
			Msg("a control member confirmed a state that is older than a known one")
		return false
	case a.Changes.Index < old.Index:
		return true
	}
	forwarders := max(1, a.Forwarders)
	rank := cmp.Or(a.Rank, old.Rank)
	if a.Starting || !a.Confirmed {
		// The member may not know all instances.
		forwarders, rank = max(old.Forwarders, forwarders), old.Rank
	}
	if a.Changes.Index == old.Index && forwarders == old.Forwarders && rank == old.Rank && a.Quarantine == nil {
		f.setPages(&a.Changes)
		return true
	}
	next := &View{
		Index: a.Changes.Index, Routes: old.Routes, Upstreams: old.Upstreams, Forwarders: forwarders, Rank: rank,
		Quarantine: old.Quarantine.Merge(a.Quarantine), leaseUntil: &atomic.Int64{},
	}
	// A lease of the older state holds for the newer one too, which has all changes of the older.
	next.leaseUntil.Store(old.leaseUntil.Load())
	if a.Changes.Index > old.Index {
		if !f.receiveTable(next, &a.Changes) {
			return false
		}
		next.applyUpstreams(old, &a.Changes)
	}
	f.received = next
	f.setPages(&a.Changes)
	return true
}

func (f *Follower) setPages(c *serving.Changes) { f.inPages, f.began = c.More, c.Began }

func (f *Follower) receiveTable(next *View, c *serving.Changes) bool {
	if len(c.Table) == 0 {
		return true
	}
	t := &route.Table{}
	if err := corecontrol.Unmarshal(c.Table, t); err != nil {
		f.cfg.Log.Error().Err(err).Str("event", "table_unreadable").Uint64("version", c.Version).Msg("cannot decode a routing table; keeping the previous one")
		return false
	}
	next.Routes = route.NewIndex(t)
	return true
}

// publish makes the received state the view.
func (f *Follower) publish() {
	old, next := f.view.Load(), f.received
	if next == old {
		return
	}
	f.view.Store(next)
	if next.Routes != old.Routes {
		f.cfg.Log.Info().Str("event", "table_in_force").Uint64("version", next.Routes.Table.Version).Uint64("index", next.Index).
			Int("routes", len(next.Routes.Table.Routes)).Str("peer", f.current).Msg("routing table in force")
	}
	for _, g := range f.subscribers {
		g(next)
	}
}

// noteUnconfirmed logs that a first table was received which cannot be used yet.
func (f *Follower) noteUnconfirmed() {
	if r := f.received.Routes; r != nil && r != f.unconfirmed {
		f.unconfirmed = r
		f.cfg.Log.Info().Str("event", "table_unconfirmed").Uint64("version", r.Table.Version).Uint64("index", f.received.Index).
			Str("peer", f.current).Msg("a routing table was received that no quorum has confirmed yet")
	}
}

// recordMembers records what an answer says about the members.
func (f *Follower) recordMembers(name string, a *servingsvc.WatchResponse) {
	if a.MembersSum == 0 && a.Rank > 0 {
		// What is known holds.
		return
	}
	f.domains[name], f.membersSum = a.Domain, a.MembersSum
	if len(a.Members) == 0 {
		return
	}
	f.updateMembers(a.Members)
	for i, domain := range a.Domains {
		if domain != "" && i < len(a.Members) {
			f.domains[a.Members[i]] = domain
		}
	}
}

func (f *Follower) updateMembers(list []string) {
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

func (f *Follower) noteContact(name string) {
	if f.inContact {
		return
	}
	f.inContact = true
	f.cfg.Log.Info().Str("event", "control_regained").Str("peer", name).Uint64("index", f.view.Load().Index).Msg("contact with the control group established")
}

func (f *Follower) noteNoAnswer() {
	if !f.inContact || f.Age() < f.cfg.Hold+f.cfg.Slack {
		return
	}
	f.inContact = false
	f.cfg.Log.Warn().Str("event", "control_lost").Str("peer", f.current).Dur("lease_left", f.Lease()).Msg("no member of the control group answered")
}
