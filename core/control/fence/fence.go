// Package fence is the replicated state machine that issues fencing numbers: for each subject of
// exclusive work there is at most one holder at a time, under a lease, and each new holder
// gets a greater number. Receivers that check the number reject calls of earlier holders. For
// receivers that do not, a new holder waits until no call of an earlier one can arrive any
// more (Grant.Wait).
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

// Name is the name of the state machine.
const Name = "fence"

// MaxTTL is the longest lease, and so the longest time that a dead holder blocks its successor.
const MaxTTL = time.Minute

// Verb is the operation of a Request.
type Verb string

// Operations of a Request.
const (
	// Acquire acquires or renews the lease.
	Acquire Verb = "acquire"
	// Release gives up the holder's lease.
	Release Verb = "release"
)

// Request is the command.
type Request struct {
	Verb Verb `codec:"v"`
	// Subject names the exclusive work.
	Subject string `codec:"d"`
	// Holder identifies one run of a process. A restarted process uses a new one, since
	// it does not know which of its earlier calls are still in flight.
	Holder string `codec:"h"`
	// Instance names the instance that the process runs on. ReturnDelay is how long that
	// instance must wait if it held the lease before another one did. Both are optional.
	Instance    string        `codec:"m,omitempty"`
	ReturnDelay time.Duration `codec:"r,omitempty"`
	// ExpiredRevision, if not zero, is the Revision that the lease has had for its whole TTL
	// by the requester's clock. If the lease still has this revision, it has expired whatever
	// the log's time says. It has expired for its holder too, which counts from before its
	// last renewal, so the new holder need not wait for it.
	ExpiredRevision uint64 `codec:"u,omitempty"`
	// TTL is the duration of the lease, counted from the leader's timestamp.
	TTL time.Duration `codec:"t"`
	// WaitDone reports that the holder has completed the wait that its Grant required.
	WaitDone bool `codec:"s"`
}

// Lease is the state of one subject.
type Lease struct {
	Subject string `codec:"d"`
	// Number is the fencing number. It grows by one with each new holder and is never reused.
	Number uint64 `codec:"n"`
	// Holder is empty while the lease is not held.
	Holder string `codec:"h"`
	// Expires is the end of the lease by the log's time, in nanoseconds since the Unix epoch.
	Expires int64         `codec:"e"`
	TTL     time.Duration `codec:"t"`
	// Wait is the wait that the holder has not yet confirmed (see Grant.Wait). A successor
	// inherits it. Otherwise, if a holder released the lease at once, its successor could
	// act while the holder before both may still rely on its own lease.
	Wait time.Duration `codec:"w"`
	// Instance is the holder's instance. PreviousInstances lists the instances that held the
	// lease before, the most recent last; the holder's own may be among them.
	Instance          string   `codec:"m,omitempty"`
	PreviousInstances []string `codec:"p,omitempty"`
	// Revision is incremented by each request that changes the lease.
	Revision uint64 `codec:"r,omitempty"`
}

// maxPreviousInstances bounds Lease.PreviousInstances. An instance is dropped only after this
// many others have held the lease, which takes far longer than any ReturnDelay.
const maxPreviousInstances = 32

// Grant is the result of a Request, granted or not.
type Grant struct {
	Granted bool  `codec:"g"`
	Lease   Lease `codec:"l"`
	// Wait is how long a new holder must wait after the grant, by its own monotonic clock,
	// before it calls receivers that ignore the number. After a lease that expired without
	// a release it is the full TTL of that lease: the clocks of two leaders may differ, so
	// the log's time could end a lease while its holder still relies on it. The holder adds
	// Timing.MaxEffectDelay.
	Wait   time.Duration `codec:"w"`
	Code   fault.Code    `codec:"c"`
	Detail string        `codec:"x"`
}

// Err returns nil if the request was granted, and otherwise fault.Conflict or fault.Invalid.
func (g Grant) Err() error {
	if g.Granted {
		return nil
	}
	return fault.New(g.Code, "%s", g.Detail)
}

// Machine holds the leases. It is not safe for concurrent use.
type Machine struct{ leases map[string]Lease }

var _ control.Machine = (*Machine)(nil)

// New returns a Machine without leases.
func New() *Machine { return &Machine{leases: map[string]Lease{}} }

// Lease returns the lease of a subject.
func (m *Machine) Lease(subject string) (Lease, bool) {
	l, ok := m.leases[subject]
	return l, ok
}

// Apply implements control.Machine.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var r Request
	g := Grant{Code: fault.Invalid, Detail: "cannot decode the request"}
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
		return Grant{Code: fault.Invalid, Detail: "subject and holder are required"}
	case r.Verb == Release:
		return m.release(l, r)
	case r.Verb != Acquire || r.TTL <= 0 || r.TTL > MaxTTL:
		return Grant{Code: fault.Invalid, Detail: "expected acquire with a TTL above 0 and up to " + MaxTTL.String() + ", or release"}
	}
	return m.acquire(l, r, at)
}

// acquire renews the lease for its current holder and otherwise grants it under a new
// number. A holder whose lease has expired gets a new number even if nobody else held the
// lease in between, so that it learns that it acted without a lease.
func (m *Machine) acquire(l Lease, r Request, at int64) Grant {
	observedExpired := r.ExpiredRevision != 0 && r.ExpiredRevision == l.Revision && l.Holder != r.Holder
	held := l.Holder != "" && at < l.Expires && !observedExpired
	if held && l.Holder != r.Holder {
		return Grant{Code: fault.Conflict, Lease: l, Detail: "held by " + l.Holder}
	}
	if !held {
		if l.Holder != "" && l.Holder != r.Holder && !observedExpired {
			l.Wait = max(l.Wait, l.TTL)
		}
		l.Number++
		l.recordInstance(r)
	} else if r.WaitDone {
		l.Wait = 0
	}
	l.Revision++
	l.Holder, l.TTL = r.Holder, r.TTL
	l.Expires = max(l.Expires, at+int64(r.TTL))
	m.leases[l.Subject] = l
	return Grant{Granted: true, Lease: l, Wait: l.Wait}
}

// recordInstance records the holder's instance. If a lease alternates between two instances
// faster than a call may take, receivers that look at the last caller instead of the number
// see both act in turn, each with orders that the other has already replaced. Therefore an
// instance that regains a lease from another one has to wait, even if its process has been
// restarted since and remembers nothing.
func (l *Lease) recordInstance(r Request) {
	if l.Instance == r.Instance {
		return
	}
	if l.Instance != "" {
		l.PreviousInstances = slices.DeleteFunc(slices.Clone(l.PreviousInstances), func(name string) bool { return name == l.Instance })
		l.PreviousInstances = append(l.PreviousInstances, l.Instance)
		l.PreviousInstances = l.PreviousInstances[max(0, len(l.PreviousInstances)-maxPreviousInstances):]
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
