package fence_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
)

// The model's times are in steps of one second. An instance may act again after a return
// delay of twice the TTL, as in instance/duty.
const (
	modelTTL         = 2
	modelReturnDelay = 2 * modelTTL
	modelSteps       = 7
	// modelSkew is the largest error of the log's time after a change of leader.
	modelSkew = 3
)

var modelTiming = fence.Timing{TTL: modelTTL * time.Second}

func timeOf(step int) time.Time { return time.Unix(int64(step), 0) }

// request is a request for the lease. It is committed at once unless it is delayed in
// transit. Its answer may arrive at any time.
type request struct {
	sentAt    int
	body      fence.Request
	committed bool
	grant     fence.Grant
}

// process is one run of a process on an instance.
type process struct {
	instance string
	start    int
	lease    fence.HeldLease
	// seenRevision is the lease revision that the process last read, seenAt the step in which
	// it first read that one.
	seenRevision, seenAt int
	request              *request
}

func (p *process) holder() string { return fmt.Sprint(p.instance, p.start) }

// callRecord describes a call that has arrived at its receiver.
type callRecord struct {
	instance string
	number   uint64
	at       int
}

// model is one state of the model. The successors depend on nothing else.
type model struct {
	now, skew int
	// How many changes of the log's time, restarts, delayed requests and releases may still occur.
	skewChanges, restarts, delays, releases int
	// unobserved means that processes request the lease without regard to how long its
	// revision has stayed the same.
	unobserved bool
	state      string
	lease      fence.Lease
	processes  [2]process
	// orphan is a request that is still in transit from a process that was killed.
	orphan *request
	// calls holds the latest call of each of the last turns. A turn is a run of calls by one
	// instance.
	calls []callRecord
}

// key returns the same key for states with the same future behaviour. Numbers and revisions
// are relative to those of the lease, and all times in the past are equal.
func (m *model) key() string {
	k := make([]byte, 0, 64)
	add := func(values ...int) {
		for _, v := range values {
			k = append(k, byte(v+64))
		}
	}
	steps := func(t time.Time) int { return max(0, int(t.Sub(timeOf(m.now))/time.Second)) }
	number := func(n uint64) int { return int(int64(n) - int64(m.lease.Number)) }
	changed := func(revision uint64) int { return min(1, int(m.lease.Revision-revision)) }
	message := func(r *request) {
		if r == nil {
			add(-1)
			return
		}
		add(r.sentAt, int(r.body.Holder[1]), flag(r.body.WaitDone), changed(r.body.ExpiredRevision), flag(r.committed), flag(r.grant.Granted))
		if r.grant.Granted {
			add(number(r.grant.Lease.Number), int(r.grant.Wait/time.Second))
		}
	}
	add(m.now, m.skew, m.skewChanges, m.restarts, m.delays, m.releases)
	k = append(k, m.lease.Holder...)
	k = append(k, m.lease.Instance...)
	add(len(m.lease.PreviousInstances), steps(time.Unix(0, m.lease.Expires)), int(m.lease.Wait/time.Second))
	for i := range m.processes {
		p := &m.processes[i]
		add(-2, p.start, changed(uint64(p.seenRevision)), p.seenAt)
		if p.lease.Number > 0 {
			add(number(p.lease.Number), steps(p.lease.Until), steps(p.lease.RenewAt), steps(p.lease.SettledAt))
		}
		message(p.request)
	}
	message(m.orphan)
	for _, c := range m.calls {
		k = append(k, c.instance...)
		add(number(c.number), max(c.at, m.now-modelReturnDelay))
	}
	return string(k)
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (m *model) copy() *model {
	n := *m
	n.calls = slices.Clone(m.calls)
	return &n
}

// apply commits a request at the log's current time.
func (m *model) apply(r request) *request {
	machine := fence.New()
	if m.state != "" {
		if err := machine.Restore([]byte(m.state)); err != nil {
			panic(err)
		}
	}
	data, _ := control.Marshal(&r.body)
	if err := control.Unmarshal(machine.Apply(1, timeOf(m.now+m.skew+modelSkew), data), &r.grant); err != nil {
		panic(err)
	}
	state, err := machine.Snapshot()
	if err != nil {
		panic(err)
	}
	m.state = string(state)
	m.lease, _ = machine.Lease(r.body.Subject)
	r.committed = true
	return &r
}

// advance moves time forward by one step. Each process checks its own lease and reads the
// group's in every step; one that did so later would only be more cautious.
func (m *model) advance() {
	m.now++
	for i := range m.processes {
		p := &m.processes[i]
		if p.request == nil {
			p.lease.Expire(timeOf(m.now))
		}
		if p.seenRevision != int(m.lease.Revision) {
			p.seenRevision, p.seenAt = int(m.lease.Revision), m.now
		}
	}
}

// mayAsk reports whether a process may request the lease, as members decide it.
func (m *model) mayAsk(p *process) bool {
	return m.unobserved || m.lease.Holder == "" || p.seenRevision == int(m.lease.Revision) && m.now-p.seenAt > modelTTL
}

func (m *model) sendRequest(p *process) {
	p.request = &request{sentAt: m.now, body: fence.Request{
		Verb: fence.Acquire, Subject: "s", Holder: p.holder(), Instance: p.instance, ReturnDelay: modelReturnDelay * time.Second,
		TTL: modelTiming.TTL, WaitDone: p.lease.IsSettled(timeOf(m.now)),
	}}
	if !m.unobserved {
		p.request.body.ExpiredRevision = uint64(p.seenRevision)
	}
}

// release gives up the lease. The process has no request in flight at that time.
func (m *model) release(p *process) {
	p.lease.Drop()
	m.apply(request{body: fence.Request{Verb: fence.Release, Subject: "s", Holder: p.holder()}})
}

// receiveAnswer delivers the answer to the process.
func (m *model) receiveAnswer(p *process) {
	r := p.request
	p.request = nil
	if r.grant.Granted {
		p.lease.Update(timeOf(r.sentAt), timeOf(m.now), &r.grant, modelTiming)
		return
	}
	p.lease.Drop()
}

// call records a call by the process and returns a description of the rule that it breaks,
// if any.
func (m *model) call(p *process) string {
	c := callRecord{p.instance, p.lease.Number, m.now}
	n := len(m.calls)
	if n > 0 && m.calls[n-1].number > c.number {
		return fmt.Sprintf("%v after %v: the number is lower", c, m.calls[n-1])
	}
	if n > 0 && m.calls[n-1].number == c.number && m.calls[n-1].instance != c.instance {
		return fmt.Sprintf("%v after %v: two instances use the same number", c, m.calls[n-1])
	}
	if n > 1 && m.calls[n-1].instance != c.instance && m.calls[n-2].instance == c.instance && c.at-m.calls[n-2].at < modelReturnDelay {
		return fmt.Sprintf("%v after %v: an instance acts again within the return delay", c, m.calls)
	}
	if n > 0 && m.calls[n-1].instance == c.instance {
		m.calls[n-1] = c
		return ""
	}
	m.calls = append(m.calls[max(0, n-1):], c)
	return ""
}

// step returns the state after a change.
func (m *model) step(change func(n *model)) *model {
	n := m.copy()
	change(n)
	return n
}

// successors returns the states that may follow, or the rule that one of them breaks.
func (m *model) successors() (list []*model, wrong string) {
	if m.now < modelSteps {
		list = append(list, m.step((*model).advance))
	}
	for _, ahead := range []int{-modelSkew, 0, modelSkew} {
		if m.skewChanges > 0 && ahead != m.skew {
			list = append(list, m.step(func(n *model) { n.skew, n.skewChanges = ahead, n.skewChanges-1 }))
		}
	}
	if m.orphan != nil {
		list = append(list, m.step(func(n *model) { n.apply(*n.orphan); n.orphan = nil }))
	}
	for i := range m.processes {
		list = append(list, m.requestSteps(i)...)
		list = append(list, m.endSteps(i)...)
		p := &m.processes[i]
		if at := timeOf(m.now); !p.lease.Valid(at) || !p.lease.IsSettled(at) {
			continue
		}
		n := m.copy()
		if wrong = n.call(&n.processes[i]); wrong != "" {
			return nil, wrong
		}
		list = append(list, n)
	}
	return list, ""
}

// requestSteps returns the states after the process's next step in requesting the lease.
func (m *model) requestSteps(i int) (list []*model) {
	p := &m.processes[i]
	at := timeOf(m.now)
	renews := p.lease.Valid(at) && !at.Before(p.lease.RenewAt)
	switch {
	case p.request == nil && (renews || p.lease.Number == 0 && m.mayAsk(p)):
		list = append(list, m.step(func(n *model) {
			q := &n.processes[i]
			n.sendRequest(q)
			q.request = n.apply(*q.request)
		}))
		if m.delays > 0 {
			list = append(list, m.step(func(n *model) { n.sendRequest(&n.processes[i]); n.delays-- }))
		}
	case p.request != nil && !p.request.committed:
		list = append(list, m.step(func(n *model) { n.processes[i].request = n.apply(*p.request) }))
	case p.request != nil:
		list = append(list, m.step(func(n *model) { n.receiveAnswer(&n.processes[i]) }))
	}
	return list
}

// endSteps returns the states after the process released its lease or was restarted.
func (m *model) endSteps(i int) (list []*model) {
	p := &m.processes[i]
	if m.releases > 0 && p.request == nil && p.lease.Valid(timeOf(m.now)) {
		list = append(list, m.step(func(n *model) { n.release(&n.processes[i]); n.releases-- }))
	}
	if m.restarts > 0 {
		list = append(list, m.step(func(n *model) {
			if p.request != nil && !p.request.committed {
				n.orphan = p.request
			}
			n.processes[i] = process{instance: p.instance, start: p.start + 1}
			n.restarts--
		}))
	}
	return list
}

// Explores every interleaving in which two instances send requests, receive answers, pause,
// restart, release the lease, have a request delayed, and make calls, while the log's time
// changes. An organisation would be billed twice, or an order undone, if a call carried a
// lower number than an earlier call, if two instances used the same number, or if instances
// acted in alternation within the delay that their provider requires.
func TestFencingRulesHoldInEveryInterleaving(t *testing.T) {
	for name, start := range map[string]model{
		"log time changes":                           {skewChanges: 2},
		"log time changes, revision not observed":    {skewChanges: 1, unobserved: true},
		"a process restarts":                         {restarts: 1, skewChanges: 1},
		"a request is delayed":                       {delays: 1, skewChanges: 1},
		"a process restarts, its request is delayed": {restarts: 1, delays: 1},
		"holders release":                            {releases: 2},
		"holders release, log time changes":          {releases: 1, skewChanges: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start.processes = [2]process{{instance: "x"}, {instance: "y"}}
			if n := explore(t, &start); n < 1000 {
				t.Errorf("only %d states were reached", n)
			}
		})
	}
}

// explore visits all states and returns how many there are.
func explore(t *testing.T, start *model) int {
	seen := map[string]bool{start.key(): true}
	defer func() { t.Log(len(seen), "states") }()
	for todo := []*model{start}; len(todo) > 0; {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		list, wrong := m.successors()
		if wrong != "" {
			t.Fatal(wrong)
		}
		for _, n := range list {
			if k := n.key(); !seen[k] {
				seen[k] = true
				todo = append(todo, n)
			}
		}
	}
	return len(seen)
}
