// Package fence is the sub-machine that issues fencing numbers: for each subject of
// exclusive work one holder at a time under a lease, and with each new holder a greater
// number. Those who check the number refuse calls of an earlier holder; for the others a
// holder waits until no call of an earlier one can arrive any more (Grant.Wait).
//
// Held is the holder's own side of a lease.
package fence

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Name is the name of the sub-machine.
const Name = "fence"

// MaxTTL bounds a lease, and with it how long a dead holder blocks the next.
const MaxTTL = time.Minute

// Verb says what a Request wants.
type Verb string

// The verbs of a Request.
const (
	// Acquire takes or renews the lease.
	Acquire Verb = "acquire"
	// Release ends the lease of its holder.
	Release Verb = "release"
)

// Request is the command.
type Request struct {
	Verb Verb `codec:"v"`
	// Subject names the work that one holder does at a time.
	Subject string `codec:"d"`
	// Holder names one start of one process: a process that was restarted has
	// another one, since it does not know which calls it has under way.
	Holder string `codec:"h"`
	// Instance names where the process runs, and Return is how long a machine waits that
	// held the subject before others did. Both may be left out.
	Instance string        `codec:"m,omitempty"`
	ReturnDelay  time.Duration `codec:"r,omitempty"`
	// ExpiredRevision, if not zero, is the Revision that the lease has had for its whole TTL by
	// the clock of whoever asks. If it still has it, the lease is over whatever the log's
	// time says, and so for its holder, who counts from before its last renewal: there is
	// nothing to wait for.
	ExpiredRevision uint64 `codec:"u,omitempty"`
	// TTL is how long the lease lasts from the leader's time stamp.
	TTL time.Duration `codec:"t"`
	// WaitDone says that the holder has waited as its Grant asked for.
	WaitDone bool `codec:"s"`
}

// Lease is the state of one subject.
type Lease struct {
	Subject string `codec:"d"`
	// Number grows by one with each new holder and is never used again.
	Number uint64 `codec:"n"`
	// Holder is empty when nobody holds the lease.
	Holder string `codec:"h"`
	// Expires is in nanoseconds since the Unix epoch, by the log's time.
	Expires int64         `codec:"e"`
	TTL     time.Duration `codec:"t"`
	// Wait is what the holder still owes (see Grant.Wait). A successor inherits
	// it: else a holder that releases at once would let the next one act while
	// the last but one may still count on its lease.
	Wait time.Duration `codec:"w"`
	// Instance is the holder's, Earlier lists those that held the lease before it, the
	// latest last.
	Instance string   `codec:"m,omitempty"`
	PreviousInstances []string `codec:"p,omitempty"`
	// Revision grows with each request that changes the lease.
	Revision uint64 `codec:"r,omitempty"`
}

// maxEarlier bounds the machines that are remembered of a lease. A machine is forgotten
// only after as many others have held it, which takes far longer than any Return.
const maxEarlier = 32

// Grant is the result of a Request.
type Grant struct {
	Granted bool  `codec:"g"`
	Lease   Lease `codec:"l"`
	// Wait is how long a new holder waits after the grant, by its own monotonic
	// clock, before it gives orders to engines that ignore the number. It is the
	// whole TTL of a lease that ran out without a release: the clocks of two
	// leaders may differ, so that the log's time alone could end a lease while
	// its holder still counts on it. The longest flight of an order comes on top.
	Wait   time.Duration `codec:"w"`
	Code   fault.Code    `codec:"c"`
	Detail string        `codec:"x"`
}

// Err returns nil for a grant, and else fault.Conflict or fault.Invalid.
func (g Grant) Err() error {
	if g.Granted {
		return nil
	}
	return fault.New(g.Code, "%s", g.Detail)
}

// Machine holds the leases. It is not safe for concurrent use.
type Machine struct{ leases map[string]Lease }

var _ control.Machine = (*Machine)(nil)

// New returns a machine without leases.
func New() *Machine { return &Machine{leases: map[string]Lease{}} }

// Lease returns the lease of a subject.
func (m *Machine) Lease(subject string) (Lease, bool) {
	l, ok := m.leases[subject]
	return l, ok
}

// Apply implements control.Machine.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var r Request
	g := Grant{Code: fault.Invalid, Detail: "the request does not decode"}
	if control.Unmarshal(data, &r) == nil {
		g = m.handle(r, at.UnixNano())
	}
	b, err := control.Marshal(&g)
	if err != nil {
		return nil
	}
	return b
}

func (m *Machine) handle(r Request, at int64) Grant {
	l := m.leases[r.Subject]
	l.Subject = r.Subject
	switch {
	case r.Subject == "" || r.Holder == "":
		return Grant{Code: fault.Invalid, Detail: "a subject and a holder are needed"}
	case r.Verb == Release:
		return m.release(l, r)
	case r.Verb != Acquire || r.TTL <= 0 || r.TTL > MaxTTL:
		return Grant{Code: fault.Invalid, Detail: "acquire with a TTL above 0 and up to " + MaxTTL.String() + ", or release"}
	}
	return m.acquire(l, r, at)
}

// acquire renews for the holder and else gives a new number. A holder whose
// lease has run out gets a new number as well, though nobody else came between:
// it has to learn that it acted without a lease.
func (m *Machine) acquire(l Lease, r Request, at int64) Grant {
	seenOver := r.ExpiredRevision != 0 && r.ExpiredRevision == l.Revision && l.Holder != r.Holder
	held := l.Holder != "" && at < l.Expires && !seenOver
	if held && l.Holder != r.Holder {
		return Grant{Code: fault.Conflict, Lease: l, Detail: "held by " + l.Holder}
	}
	if !held {
		if l.Holder != "" && l.Holder != r.Holder && !seenOver {
			l.Wait = max(l.Wait, l.TTL)
		}
		l.Number++
		l.moveTo(r)
	} else if r.WaitDone {
		l.Wait = 0
	}
	l.Revision++
	l.Holder, l.TTL = r.Holder, r.TTL
	l.Expires = max(l.Expires, at+int64(r.TTL))
	m.leases[l.Subject] = l
	return Grant{Granted: true, Lease: l, Wait: l.Wait}
}

// moveTo notes on which machine the holder runs. Where the lease goes to and fro between
// two machines faster than a call may take, those who look at who called last, and not at
// the number, see the two act by turns, each with an order that the other one has replaced.
// So a machine that held it before another one waits, also when its process has started
// anew since and remembers nothing.
func (l *Lease) moveTo(r Request) {
	if l.Instance == r.Instance {
		return
	}
	if l.Instance != "" {
		l.PreviousInstances = slices.DeleteFunc(slices.Clone(l.PreviousInstances), func(name string) bool { return name == l.Instance })
		l.PreviousInstances = append(l.PreviousInstances, l.Instance)
		l.PreviousInstances = l.PreviousInstances[max(0, len(l.PreviousInstances)-maxEarlier):]
	}
	if r.Instance != "" && slices.Contains(l.PreviousInstances, r.Instance) {
		l.Wait = max(l.Wait, r.ReturnDelay)
	}
	l.Instance = r.Instance
}

func (m *Machine) release(l Lease, r Request) Grant {
	if l.Holder != r.Holder {
		return Grant{Code: fault.Conflict, Lease: l, Detail: "not held by " + r.Holder}
	}
	l.Holder, l.Expires, l.TTL = "", 0, 0
	l.Revision++
	m.leases[l.Subject] = l
	return Grant{Granted: true, Lease: l}
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	list := make([]Lease, 0, len(m.leases))
	for _, l := range m.leases {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Lease) int { return cmp.Compare(a.Subject, b.Subject) })
	return control.Marshal(list)
}

// Restore implements control.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var list []Lease
	if err := control.Unmarshal(snapshot, &list); err != nil {
		return err
	}
	m.leases = make(map[string]Lease, len(list))
	for _, l := range list {
		m.leases[l.Subject] = l
	}
	return nil
}
