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
	// trip is how long a message takes.
	trip = 2 * time.Millisecond
)

// entry is one committed command.
type entry struct {
	machine string
	data    []byte
	at      time.Time
}

// world is a control group, a provider and the members that call it, in virtual time.
type world struct {
	t        testing.TB
	provider *provider

	mu      sync.Mutex
	entries []entry
	// all has applied all entries.
	all *control.Mux
	// ahead is by how much the leader's clock is ahead.
	ahead time.Duration
	last  time.Time
	nodes map[string]*node
	// counting ends the instances' counting.
	counting chan struct{}
	fleet    *fleet
	// silent is the instance that tells nothing, zero for none.
	silent uint64
	// dryRun lets members that start order nothing.
	dryRun bool
}

func newWorld(t testing.TB, members ...string) *world {
	w := &world{t: t, nodes: map[string]*node{}, all: newMux(), counting: make(chan struct{}), fleet: newFleet()}
	go w.count()
	w.provider = &provider{world: w, reports: map[int64]string{}, unreachable: map[string]bool{}}
	for _, name := range members {
		w.run(name)
	}
	return w
}

// node is one member. Its gate is shut while it is frozen.
type node struct {
	*duty.Service
	w      *world
	name   string
	mu     sync.Mutex
	gate   chan struct{}
	cut    bool
	mux    *control.Mux
	at     int
	killed bool
	// freezes names the place where the member freezes when it comes there next.
	freezes place
	// trip is how long its calls take to the provider, flying how many are on their way.
	trip   time.Duration
	flying int
}

func (n *node) flies(by int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flying += by
	return n.flying
}

// place is where a member may freeze.
type place string

const (
	// renewing is after a request for the lease was committed, before its answer.
	renewing place = "renewing"
	// sending is after the lease was looked at, before the call's bytes leave.
	sending place = "sending"
)

// comes freezes the member if it is to freeze at a place, and waits until it goes on.
func (n *node) comes(at place) {
	n.mu.Lock()
	freezes := n.freezes == at
	if freezes {
		n.freezes = ""
	}
	n.mu.Unlock()
	if freezes {
		n.freeze()
	}
	n.pass()
}

// freezeNext lets the member freeze at a place.
func (n *node) freezeNext(at place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezes = at
}

func (n *node) frozen() bool {
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

// run starts a member, which reads the whole log.
func (w *world) run(name string) *node {
	n := &node{w: w, name: name, mux: newMux(), gate: make(chan struct{}), trip: trip}
	close(n.gate)
	n.Service = duty.New(duty.Config{
		Instance: name, Peer: name, Group: func() duty.Group { return n }, Provider: &path{n},
		Agreed: func() (time.Time, bool) { return time.Now(), true },
		Usage:  &duty.Usage{Span: span, Delay: delay}, Scale: &duty.Scale{Services: w.fleet.look, DryRun: w.dryRun}, Lease: lease, PerSecond: 50,
		// Ticks in step with each other would let everything happen in one order.
		Tick: 20*time.Millisecond + time.Duration(rand.IntN(20))*time.Millisecond,
		Now:  n.now, Log: zerolog.Nop(),
	})
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	if err := n.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	return n
}

// stopAll ends the members, so that no goroutine is left.
func (w *world) stopAll() {
	close(w.counting)
	for _, n := range w.live() {
		n.kill()
	}
}

func (w *world) live() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.nodes))
	var list []*node
	for _, name := range names {
		list = append(list, w.nodes[name])
	}
	return list
}

// pass waits while the member is frozen.
func (n *node) pass() {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	<-gate
}

func (n *node) now() time.Time {
	n.pass()
	return time.Now()
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate = make(chan struct{})
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.gate:
	default:
		close(n.gate)
	}
}

// kill ends the member at once: it releases nothing, and nothing that it sends arrives.
func (n *node) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.thaw()
	_ = n.Stop(context.Background())
	n.w.mu.Lock()
	delete(n.w.nodes, n.name)
	n.w.mu.Unlock()
}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut || n.killed
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Propose implements duty.Group: a member that is cut off from the group waits in vain.
func (n *node) Propose(ctx context.Context, machine string, data []byte) ([]byte, uint64, error) {
	n.pass()
	time.Sleep(trip)
	if n.isCut() {
		<-ctx.Done()
		return nil, 0, fault.New(fault.NotRun, "no leader is known")
	}
	index, result := n.w.append(machine, data)
	time.Sleep(trip)
	if machine == fence.Name {
		n.comes(renewing)
	}
	n.pass()
	n.catchUp(index)
	return result, uint64(index), nil
}

// append commits a command.
func (w *world) append(machine string, data []byte) (index int, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now().Add(w.ahead)
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
func (n *node) catchUp(index int) {
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
func (n *node) View(f func(uint64, *control.Mux)) {
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

// count lets two instances count: in each half second of a window a request comes to each,
// so that the organisation's total is 20 in the end. An instance that is silent tells what
// it counted once it is not any more.
func (w *world) count() {
	const each = 500 * time.Millisecond
	begun := time.Now().UnixNano()/int64(each) - 1
	told := map[uint64]int64{0: begun, 1: begun}
	for {
		now := time.Now().UnixNano() / int64(each)
		for instance := range uint64(2) {
			if w.isSilent(instance) {
				continue
			}
			for n := told[instance] + 1; n <= now; n++ {
				w.tell(instance+1, n/10, uint64(n%10)+1)
				told[instance] = n
			}
		}
		select {
		case <-time.After(each / 4):
		case <-w.counting:
			return
		}
	}
}

func (w *world) isSilent(instance uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent == instance+1
}

func (w *world) setSilent(instance uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = instance
}

// tell commits the count of an instance in a window.
func (w *world) tell(instance uint64, window int64, requests uint64) {
	c := usagestate.Command{Counts: []usage.Report{{
		Instance: instance, Current: window, Counts: []usage.Count{{Window: window, Organisation: "o", Requests: requests}},
	}}}
	data, _ := control.Marshal(&c)
	w.append(usagestate.Name, data)
}

// provider takes calls and judges them by its rules.
type provider struct {
	world *world

	mu sync.Mutex
	// reports holds what was accepted first of each window.
	reports map[int64]string
	// calls are those that arrived, in order.
	calls []arrival
	// unreachable lists members that can't connect; answer is how long an answer takes; lost
	// is how many answers are lost, and busy how many calls are refused for their rate.
	unreachable map[string]bool
	answer      time.Duration
	lost, busy  int
	broken      []string
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

// subject is what the call is about, as far as holders are concerned.
func (a *arrival) subject() string {
	if a.order == nil {
		return "usage"
	}
	return a.order.Service + " " + a.order.Domain
}

// arrives judges a call.
func (p *provider) arrives(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.calls) - 1; i >= 0; i-- {
		b := &p.calls[i]
		if b.subject() != a.subject() {
			continue
		}
		if b.number > a.number {
			p.broken = append(p.broken, fmt.Sprintf("%s calls with %d after %d of %s", a.machine, a.number, b.number, b.machine))
		}
		if b.number == a.number && b.machine != a.machine {
			p.broken = append(p.broken, fmt.Sprintf("%s and %s call with %d", a.machine, b.machine, a.number))
		}
	}
	if p.toAndFro(&a) {
		p.broken = append(p.broken, fmt.Sprintf("%s, another one and %s act within %v", a.machine, a.machine, lease))
	}
	if a.order != nil {
		p.calls = append(p.calls, a)
		return
	}
	if first, ok := p.reports[a.window]; ok && first != a.body {
		p.broken = append(p.broken, fmt.Sprintf("window %d: %s after %s", a.window, a.body, first))
	}
	if _, ok := p.reports[a.window]; !ok {
		p.reports[a.window] = a.body
	}
	p.calls = append(p.calls, a)
}

func (p *provider) toAndFro(a *arrival) bool {
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

// path is a member's way to the provider, with the guard of the real client: no byte
// arrives after the time that the call bears, and none of a member that was killed.
type path struct{ n *node }

func (c *path) reaches() bool {
	c.n.w.provider.mu.Lock()
	defer c.n.w.provider.mu.Unlock()
	return !c.n.w.provider.unreachable[c.n.name]
}

// Connect implements duty.Provider.
func (c *path) Connect(ctx context.Context) error {
	c.n.pass()
	if !c.reaches() {
		<-ctx.Done()
		return fault.New(fault.Unavailable, "no connection")
	}
	return nil
}

// Report implements duty.Provider.
func (c *path) Report(ctx context.Context, a duty.Authority, r *duty.Report) error {
	return c.send(ctx, arrival{number: a.Number, window: r.Window, body: fmt.Sprint(r.Totals)}, a.NotAfter)
}

// Order implements duty.Provider.
func (c *path) Order(ctx context.Context, a duty.Authority, o *duty.Order) error {
	return c.send(ctx, arrival{number: a.Number, order: o}, a.NotAfter)
}

func (c *path) send(ctx context.Context, a arrival, notAfter time.Time) error {
	c.n.pass()
	if !c.reaches() {
		wait(ctx, 700*time.Millisecond)
		return fault.New(fault.NotRun, "no connection")
	}
	c.n.comes(sending)
	if c.n.isKilled() || !time.Now().Before(notAfter) {
		return fault.New(fault.NotRun, "the lease is over")
	}
	// Bytes that have left arrive, also if the caller waits no longer.
	done := make(chan error, 1)
	go func() { done <- c.fly(ctx, a) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
}

// fly takes a call to the provider and its answer back.
func (c *path) fly(ctx context.Context, a arrival) error {
	c.n.flies(1)
	time.Sleep(c.n.trip)
	c.n.flies(-1)
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
	if a.order != nil && !c.n.w.fleet.take(a.order) {
		return fault.New(fault.Conflict, "none left")
	}
	p.arrives(a)
	if !wait(ctx, answer+trip) || lost {
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	return nil
}

func (n *node) isKilled() bool {
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
