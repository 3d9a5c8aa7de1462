package duty_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/instance/duty"
)

const (
	span  = 5 * time.Second
	delay = 10 * time.Second
	lease = 3 * time.Second
	// latency is the time that a message takes.
	latency = 2 * time.Millisecond
)

// entry is one committed command.
type entry struct {
	machine string
	data    []byte
	at      time.Time
}

// simulation is a control group, a provider and the members that call it, in virtual time.
type simulation struct {
	t        testing.TB
	provider *provider

	mu      sync.Mutex
	entries []entry
	// all has applied all entries.
	all *control.Mux
	// clockAhead is how far the leader's clock is ahead.
	clockAhead time.Duration
	last       time.Time
	members    map[string]*testMember
	// counting is closed to stop the counting of the instances.
	counting chan struct{}
	fleet    *fleet
	// silent is the instance that sends no counts, zero for none.
	silent uint64
	// dryRun makes members that start plan orders without sending them.
	dryRun bool
}

func newSimulation(t testing.TB, members ...string) *simulation {
	w := &simulation{t: t, members: map[string]*testMember{}, all: newMux(), counting: make(chan struct{}), fleet: newFleet()}
	go w.count()
	w.provider = &provider{simulation: w, reports: map[int64]string{}, unreachable: map[string]bool{}}
	for _, name := range members {
		w.run(name)
	}
	return w
}

// testMember is one member. Its gate is shut while it is frozen.
type testMember struct {
	*duty.Service
	w      *simulation
	name   string
	mu     sync.Mutex
	gate   chan struct{}
	cut    bool
	mux    *control.Mux
	at     int
	killed bool
	// freezeAt is the point at which the member freezes when it next reaches it.
	freezeAt freezePoint
	// latency is the time that its calls take to the provider, inFlight how many are on their way.
	latency  time.Duration
	inFlight int
}

func (n *testMember) addInFlight(by int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight += by
	return n.inFlight
}

// freezePoint is a point at which a member may freeze.
type freezePoint string

const (
	// renewing is after a request for the lease was committed, before its answer.
	renewing freezePoint = "renewing"
	// sending is after the lease was checked, before the bytes of the call are sent.
	sending freezePoint = "sending"
)

// reach freezes the member if it is to freeze at this point, and waits until it resumes.
func (n *testMember) reach(at freezePoint) {
	n.mu.Lock()
	freezes := n.freezeAt == at
	if freezes {
		n.freezeAt = ""
	}
	n.mu.Unlock()
	if freezes {
		n.freeze()
	}
	n.waitWhileFrozen()
}

// freezeNext makes the member freeze at a point.
func (n *testMember) freezeNext(at freezePoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezeAt = at
}

func (n *testMember) frozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.gate:
		return false
	default:
		return true
	}
}

func newMux() *control.Mux {
	return control.NewMux(map[string]control.Machine{fence.Name: fence.New(), usagestate.Name: usagestate.New()})
}

// run starts a member, which applies the whole log.
func (w *simulation) run(name string) *testMember {
	n := &testMember{w: w, name: name, mux: newMux(), gate: make(chan struct{}), latency: latency}
	close(n.gate)
	n.Service = duty.New(duty.Config{
		Instance: name, Peer: name, Group: func() duty.Group { return n }, Provider: &providerLink{n},
		Agreed: func() (time.Time, bool) { return time.Now(), true },
		Usage:  &duty.Usage{Span: span, Delay: delay}, Scale: &duty.Scale{Services: w.fleet.services, DryRun: w.dryRun}, Lease: lease, PerSecond: 50,
		// Different ticks, so that events do not always happen in the same order.
		Tick: 20*time.Millisecond + time.Duration(rand.IntN(20))*time.Millisecond,
		Now:  n.now, Log: zerolog.Nop(),
	})
	w.mu.Lock()
	w.members[name] = n
	w.mu.Unlock()
	if err := n.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	return n
}

// stopAll stops the members, so that no goroutine is left.
func (w *simulation) stopAll() {
	close(w.counting)
	for _, n := range w.live() {
		n.kill()
	}
}

func (w *simulation) live() []*testMember {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.members))
	var list []*testMember
	for _, name := range names {
		list = append(list, w.members[name])
	}
	return list
}

// waitWhileFrozen waits while the member is frozen.
func (n *testMember) waitWhileFrozen() {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	<-gate
}

func (n *testMember) now() time.Time {
	n.waitWhileFrozen()
	return time.Now()
}

func (n *testMember) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate = make(chan struct{})
}

func (n *testMember) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.gate:
	default:
		close(n.gate)
	}
}

// kill stops the member at once: it releases nothing, and nothing that it sends arrives.
func (n *testMember) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.thaw()
	_ = n.Stop(context.Background())
	n.w.mu.Lock()
	delete(n.w.members, n.name)
	n.w.mu.Unlock()
}

func (n *testMember) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut || n.killed
}

func (n *testMember) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Propose implements duty.Group. A proposal of a member that is cut off from the group times out.
func (n *testMember) Propose(ctx context.Context, machine string, data []byte) ([]byte, uint64, error) {
	n.waitWhileFrozen()
	time.Sleep(latency)
	if n.isCut() {
		<-ctx.Done()
		return nil, 0, fault.New(fault.NotRun, "no leader is known")
	}
	index, result := n.w.append(machine, data)
	time.Sleep(latency)
	if machine == fence.Name {
		n.reach(renewing)
	}
	n.waitWhileFrozen()
	n.catchUp(index)
	return result, uint64(index), nil
}

// append commits a command.
func (w *simulation) append(machine string, data []byte) (index int, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now().Add(w.clockAhead)
	if at.Before(w.last) {
		at = w.last
	}
	w.last = at
	e := entry{machine, data, at}
	result = applyEntry(w.all, len(w.entries), e)
	w.entries = append(w.entries, e)
	return len(w.entries), result
}

// catchUp applies the log up to an index.
func (n *testMember) catchUp(index int) {
	n.w.mu.Lock()
	entries := n.w.entries[:index]
	n.w.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	for ; n.at < index; n.at++ {
		applyEntry(n.mux, n.at, entries[n.at])
	}
}

func applyEntry(m *control.Mux, i int, e entry) []byte {
	payload, _ := control.Marshal(&control.Command{Machine: e.machine, Request: fmt.Sprint(i), Data: e.data})
	_, result, err := m.Apply(uint64(i+1), e.at.UnixNano(), payload)
	if err != nil {
		panic(err)
	}
	return result
}

// View implements duty.Group.
func (n *testMember) View(f func(uint64, *control.Mux)) {
	n.w.mu.Lock()
	index := len(n.w.entries)
	n.w.mu.Unlock()
	if !n.isCut() {
		n.catchUp(index)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f(uint64(n.at), n.mux)
}

// count makes two instances count: each receives one request in each half second of a window, so
// that the total of the organisation is 20 in the end. An instance that was silent sends its counts
// once it is not silent any more.
func (w *simulation) count() {
	const each = 500 * time.Millisecond
	begun := time.Now().UnixNano()/int64(each) - 1
	lastCounted := map[uint64]int64{0: begun, 1: begun}
	for {
		now := time.Now().UnixNano() / int64(each)
		for instance := range uint64(2) {
			if w.isSilent(instance) {
				continue
			}
			for n := lastCounted[instance] + 1; n <= now; n++ {
				w.commitCount(instance+1, n/10, uint64(n%10)+1)
				lastCounted[instance] = n
			}
		}
		select {
		case <-time.After(each / 4):
		case <-w.counting:
			return
		}
	}
}

func (w *simulation) isSilent(instance uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent == instance+1
}

func (w *simulation) setSilent(instance uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = instance
}

// commitCount commits the count of an instance in a window.
func (w *simulation) commitCount(instance uint64, window int64, requests uint64) {
	c := usagestate.Command{Counts: []usage.Report{{
		Instance: instance, Current: window, Counts: []usage.Count{{Window: window, Organisation: "o", Requests: requests}},
	}}}
	data, _ := control.Marshal(&c)
	w.append(usagestate.Name, data)
}

// provider accepts calls and checks them against its rules.
type provider struct {
	simulation *simulation

	mu sync.Mutex
	// reports holds the first accepted report of each window.
	reports map[int64]string
	// calls are the calls that arrived, in order.
	calls []arrival
	// unreachable lists members that cannot connect. answer is how long an answer takes, lost how many
	// answers will be lost, and busy how many calls will be refused for their rate.
	unreachable map[string]bool
	answer      time.Duration
	lost, busy  int
	violations  []string
}

type arrival struct {
	at      time.Time
	machine string
	number  uint64
	window  int64
	body    string
	// order is nil for a report.
	order *duty.Order
}

// subject returns what the call is about, for the rules on holders.
func (a *arrival) subject() string {
	if a.order == nil {
		return "usage"
	}
	return a.order.Service + " " + a.order.Domain
}

// arrives checks a call against the rules and records it.
func (p *provider) arrives(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.calls) - 1; i >= 0; i-- {
		b := &p.calls[i]
		if b.subject() != a.subject() {
			continue
		}
		if b.number > a.number {
			p.violations = append(p.violations, fmt.Sprintf("%s calls with %d after %d of %s", a.machine, a.number, b.number, b.machine))
		}
		if b.number == a.number && b.machine != a.machine {
			p.violations = append(p.violations, fmt.Sprintf("%s and %s call with %d", a.machine, b.machine, a.number))
		}
	}
	if p.alternates(&a) {
		p.violations = append(p.violations, fmt.Sprintf("%s, another one and %s act within %v", a.machine, a.machine, lease))
	}
	if a.order != nil {
		p.calls = append(p.calls, a)
		return
	}
	if first, ok := p.reports[a.window]; ok && first != a.body {
		p.violations = append(p.violations, fmt.Sprintf("window %d: %s after %s", a.window, a.body, first))
	}
	if _, ok := p.reports[a.window]; !ok {
		p.reports[a.window] = a.body
	}
	p.calls = append(p.calls, a)
}

// alternates reports whether another member made calls between two calls of this one within the
// time of the lease.
func (p *provider) alternates(a *arrival) bool {
	between := false
	for i := len(p.calls) - 1; i >= 0; i-- {
		b := &p.calls[i]
		if a.at.Sub(b.at) >= lease {
			return false
		}
		if b.subject() != a.subject() {
			continue
		}
		if b.machine != a.machine {
			between = true
		} else if between {
			return true
		}
	}
	return false
}

func (p *provider) set(f func(*provider)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

func (p *provider) got(window int64) (body string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok = p.reports[window]
	return body, ok
}

func (p *provider) arrivals() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// providerLink is the connection of a member to the provider, with the guard of the real client: no
// byte arrives after the deadline of the call, and none from a member that was killed.
type providerLink struct{ n *testMember }

func (c *providerLink) reaches() bool {
	c.n.w.provider.mu.Lock()
	defer c.n.w.provider.mu.Unlock()
	return !c.n.w.provider.unreachable[c.n.name]
}

// Connect implements duty.Provider.
func (c *providerLink) Connect(ctx context.Context) error {
	c.n.waitWhileFrozen()
	if !c.reaches() {
		<-ctx.Done()
		return fault.New(fault.Unavailable, "no connection")
	}
	return nil
}

// Report implements duty.Provider.
func (c *providerLink) Report(ctx context.Context, a duty.Authority, r *duty.Report) error {
	return c.send(ctx, arrival{number: a.Number, window: r.Window, body: fmt.Sprint(r.Totals)}, a.NotAfter)
}

// Order implements duty.Provider.
func (c *providerLink) Order(ctx context.Context, a duty.Authority, o *duty.Order) error {
	return c.send(ctx, arrival{number: a.Number, order: o}, a.NotAfter)
}

func (c *providerLink) send(ctx context.Context, a arrival, notAfter time.Time) error {
	c.n.waitWhileFrozen()
	if !c.reaches() {
		wait(ctx, 700*time.Millisecond)
		return fault.New(fault.NotRun, "no connection")
	}
	c.n.reach(sending)
	if c.n.isKilled() || !time.Now().Before(notAfter) {
		return fault.New(fault.NotRun, "the lease is over")
	}
	// Bytes that were sent arrive even if the caller stops waiting.
	done := make(chan error, 1)
	go func() { done <- c.deliver(ctx, a) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
}

// deliver carries a call to the provider and its answer back.
func (c *providerLink) deliver(ctx context.Context, a arrival) error {
	c.n.addInFlight(1)
	time.Sleep(c.n.latency)
	c.n.addInFlight(-1)
	p := c.n.w.provider
	p.mu.Lock()
	busy, lost := p.busy > 0, p.lost > 0
	switch {
	case busy:
		p.busy--
	case lost:
		p.lost--
	}
	answer := p.answer
	p.mu.Unlock()
	if busy {
		return fault.New(fault.Overloaded, "too many calls")
	}
	a.at, a.machine = time.Now(), c.n.name
	if a.order != nil && !c.n.w.fleet.accept(a.order) {
		return fault.New(fault.Conflict, "none left")
	}
	p.arrives(a)
	if !wait(ctx, answer+latency) || lost {
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	return nil
}

func (n *testMember) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
