package fence_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
)

// The model's times are in steps of a second. A machine may come back after twice the time
// that a lease lasts, as in instance/duty.
const (
	modelTTL    = 2
	modelReturn = 2 * modelTTL
	modelEnd    = 7
	// modelJump is by how much the log's time may be off, since another member leads.
	modelJump = 3
)

var modelTerms = fence.Timing{TTL: modelTTL * time.Second}

func moment(step int) time.Time { return time.Unix(int64(step), 0) }

// request is a request for the lease. It is committed at once unless it is held up on its
// way; its answer comes at any time.
type request struct {
	asked     int
	body      fence.Request
	committed bool
	grant     fence.Grant
}

// process is one start of a process on a machine.
type process struct {
	machine string
	start   int
	held    fence.HeldLease
	// seen is the revision of the lease that it looked at, since a step.
	seen, since int
	request     *request
}

func (p *process) holder() string { return fmt.Sprint(p.machine, p.start) }

// call is a call that has arrived.
type call struct {
	machine string
	number  uint64
	at      int
}

// model is one state: all that happens next depends on nothing else.
type model struct {
	now, ahead int
	// jumps of the log's time, restarts, requests that are held up and releases may still come.
	jumps, restarts, delays, releases int
	// hasty processes ask for the lease without a look at how long it has not changed.
	hasty     bool
	state     string
	lease     fence.Lease
	processes [2]process
	// late is a request of a process that has been killed, which still arrives.
	late *request
	// calls are the latest of each turn of a machine.
	calls []call
}

// key tells states apart that differ in what may come: numbers and revisions count by how far
// they are from the lease's, and what lies in the past by that alone.
func (m *model) key() string {
	k := make([]byte, 0, 64)
	add := func(values ...int) {
		for _, v := range values {
			k = append(k, byte(v+64))
		}
	}
	steps := func(t time.Time) int { return max(0, int(t.Sub(moment(m.now))/time.Second)) }
	number := func(n uint64) int { return int(int64(n) - int64(m.lease.Number)) }
	changed := func(revision uint64) int { return min(1, int(m.lease.Revision-revision)) }
	message := func(r *request) {
		if r == nil {
			add(-1)
			return
		}
		add(r.asked, int(r.body.Holder[1]), flag(r.body.WaitDone), changed(r.body.ExpiredRevision), flag(r.committed), flag(r.grant.Granted))
		if r.grant.Granted {
			add(number(r.grant.Lease.Number), int(r.grant.Wait/time.Second))
		}
	}
	add(m.now, m.ahead, m.jumps, m.restarts, m.delays, m.releases)
	k = append(k, m.lease.Holder...)
	k = append(k, m.lease.Instance...)
	add(len(m.lease.PreviousInstances), steps(time.Unix(0, m.lease.Expires)), int(m.lease.Wait/time.Second))
	for i := range m.processes {
		p := &m.processes[i]
		add(-2, p.start, changed(uint64(p.seen)), p.since)
		if p.held.Number > 0 {
			add(number(p.held.Number), steps(p.held.Until), steps(p.held.RenewAt), steps(p.held.SettledAt))
		}
		message(p.request)
	}
	message(m.late)
	for _, c := range m.calls {
		k = append(k, c.machine...)
		add(number(c.number), max(c.at, m.now-modelReturn))
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

// apply commits a request by the log's time.
func (m *model) apply(r request) *request {
	machine := fence.New()
	if m.state != "" {
		if err := machine.Restore([]byte(m.state)); err != nil {
			panic(err)
		}
	}
	data, _ := control.Marshal(&r.body)
	if err := control.Unmarshal(machine.Apply(1, moment(m.now+m.ahead+modelJump), data), &r.grant); err != nil {
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

// tick lets time pass. A process looks at its lease and at the group's at once: one that
// looks later is only more careful.
func (m *model) tick() {
	m.now++
	for i := range m.processes {
		p := &m.processes[i]
		if p.request == nil {
			p.held.Expire(moment(m.now))
		}
		if p.seen != int(m.lease.Revision) {
			p.seen, p.since = int(m.lease.Revision), m.now
		}
	}
}

// free is how a member judges that it may ask for the lease.
func (m *model) free(p *process) bool {
	return m.hasty || m.lease.Holder == "" || p.seen == int(m.lease.Revision) && m.now-p.since > modelTTL
}

func (m *model) ask(p *process) {
	p.request = &request{asked: m.now, body: fence.Request{
		Verb: fence.Acquire, Subject: "s", Holder: p.holder(), Instance: p.machine, ReturnDelay: modelReturn * time.Second,
		TTL: modelTerms.TTL, WaitDone: p.held.IsSettled(moment(m.now)),
	}}
	if !m.hasty {
		p.request.body.ExpiredRevision = uint64(p.seen)
	}
}

// release gives the lease up; nothing of this process is under way then.
func (m *model) release(p *process) {
	p.held.Drop()
	m.apply(request{body: fence.Request{Verb: fence.Release, Subject: "s", Holder: p.holder()}})
}

// answer takes the group's word in.
func (m *model) answer(p *process) {
	r := p.request
	p.request = nil
	if r.grant.Granted {
		p.held.Update(moment(r.asked), moment(m.now), &r.grant, modelTerms)
		return
	}
	p.held.Drop()
}

// act makes a call, and tells what is wrong with it.
func (m *model) act(p *process) string {
	c := call{p.machine, p.held.Number, m.now}
	n := len(m.calls)
	if n > 0 && m.calls[n-1].number > c.number {
		return fmt.Sprintf("%v after %v: the number is lower", c, m.calls[n-1])
	}
	if n > 0 && m.calls[n-1].number == c.number && m.calls[n-1].machine != c.machine {
		return fmt.Sprintf("%v after %v: two machines have one number", c, m.calls[n-1])
	}
	if n > 1 && m.calls[n-1].machine != c.machine && m.calls[n-2].machine == c.machine && c.at-m.calls[n-2].at < modelReturn {
		return fmt.Sprintf("%v after %v: to and fro", c, m.calls)
	}
	if n > 0 && m.calls[n-1].machine == c.machine {
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

// next returns the states that may follow, or what is wrong in one of them.
func (m *model) next() (list []*model, wrong string) {
	if m.now < modelEnd {
		list = append(list, m.step((*model).tick))
	}
	for _, ahead := range []int{-modelJump, 0, modelJump} {
		if m.jumps > 0 && ahead != m.ahead {
			list = append(list, m.step(func(n *model) { n.ahead, n.jumps = ahead, n.jumps-1 }))
		}
	}
	if m.late != nil {
		list = append(list, m.step(func(n *model) { n.apply(*n.late); n.late = nil }))
	}
	for i := range m.processes {
		list = append(list, m.asks(i)...)
		list = append(list, m.ends(i)...)
		p := &m.processes[i]
		if at := moment(m.now); !p.held.Valid(at) || !p.held.IsSettled(at) {
			continue
		}
		n := m.copy()
		if wrong = n.act(&n.processes[i]); wrong != "" {
			return nil, wrong
		}
		list = append(list, n)
	}
	return list, ""
}

// asks returns the states after a process's next step toward the lease.
func (m *model) asks(i int) (list []*model) {
	p := &m.processes[i]
	at := moment(m.now)
	renews := p.held.Valid(at) && !at.Before(p.held.RenewAt)
	switch {
	case p.request == nil && (renews || p.held.Number == 0 && m.free(p)):
		list = append(list, m.step(func(n *model) {
			q := &n.processes[i]
			n.ask(q)
			q.request = n.apply(*q.request)
		}))
		if m.delays > 0 {
			list = append(list, m.step(func(n *model) { n.ask(&n.processes[i]); n.delays-- }))
		}
	case p.request != nil && !p.request.committed:
		list = append(list, m.step(func(n *model) { n.processes[i].request = n.apply(*p.request) }))
	case p.request != nil:
		list = append(list, m.step(func(n *model) { n.answer(&n.processes[i]) }))
	}
	return list
}

// ends returns the states after a process gave up, or started anew.
func (m *model) ends(i int) (list []*model) {
	p := &m.processes[i]
	if m.releases > 0 && p.request == nil && p.held.Valid(moment(m.now)) {
		list = append(list, m.step(func(n *model) { n.release(&n.processes[i]); n.releases-- }))
	}
	if m.restarts > 0 {
		list = append(list, m.step(func(n *model) {
			if p.request != nil && !p.request.committed {
				n.late = p.request
			}
			n.processes[i] = process{machine: p.machine, start: p.start + 1}
			n.restarts--
		}))
	}
	return list
}

// Every order in which two machines ask, hear, freeze, start anew, give up, have a request
// held up, and make calls, while the log's time jumps. An organisation is billed twice, or
// an order undone, if a call bears a lower number than one before it, if two machines use one
// number, or if machines act to and fro within the time that their provider forbids it.
func TestEveryOrderOfTwoHoldersKeepsTheRules(t *testing.T) {
	for name, start := range map[string]model{
		"the log's time jumps":                    {jumps: 2},
		"the log's time jumps, nobody looks":      {jumps: 1, hasty: true},
		"a process starts anew":                   {restarts: 1, jumps: 1},
		"a request is held up":                    {delays: 1, jumps: 1},
		"a process starts anew, its request late": {restarts: 1, delays: 1},
		"holders give up":                         {releases: 2},
		"holders give up, the log's time jumps":   {releases: 1, jumps: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start.processes = [2]process{{machine: "x"}, {machine: "y"}}
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
		list, wrong := m.next()
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
