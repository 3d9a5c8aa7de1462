package schedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Channels between instances.
const (
	// channelUp carries tickets and events to the domain's scheduler.
	channelUp = "schedule.up"
	// channelDown carries grants and refusals back.
	channelDown = "schedule.down"
)

// Tickets, grants and events travel as arrays: they come with each request, and
// the names of their fields would be a fifth of them.

type eventKind int

const (
	eventCancel eventKind = iota + 1
	eventStarted
	eventProgress
	eventFinish
)

// event tells the scheduler what became of a ticket.
type event struct {
	wire.Array
	Kind    eventKind
	ID      string
	Tokens  int
	Outcome sched.Outcome
	// Age is how long ago it happened, in milliseconds.
	Age int64
	at  time.Time
}

// maxAge bounds the age of an event; older ones come from a defect.
const maxAge = 10 * time.Second

// happened returns when an event that came with a message happened.
func (e event) happened(now time.Time) time.Time {
	return now.Add(-min(max(millis(e.Age), 0), maxAge))
}

// urgent reports whether somebody may wait for the scheduler to know.
func (e event) urgent() bool { return e.Kind == eventCancel || e.Kind == eventFinish }

// flight is a grant in flight, told to a successor.
type flight struct {
	wire.Array
	Ticket   ticketMessage
	Upstream string
	Tokens   int
	Started  bool
}

// upMessage goes to the scheduler. Its parts apply in the order of the fields.
type upMessage struct {
	// Full says that Flights and Submits list all that the instance has.
	Full    bool            `codec:"f,omitempty"`
	Flights []flight        `codec:"g,omitempty"`
	Submits []ticketMessage `codec:"s,omitempty"`
	Events  []event         `codec:"e,omitempty"`
	// Beat asks for an acknowledgement and carries digests of what the instance
	// waits for and has in flight, by which the scheduler finds losses.
	Beat    bool   `codec:"b,omitempty"`
	Waiting digest `codec:"w,omitempty"`
	Flying  digest `codec:"y,omitempty"`
}

func (m *upMessage) empty() bool {
	return !m.Full && !m.Beat && len(m.Flights)+len(m.Submits)+len(m.Events) == 0
}

// urgent reports whether the message should go out at once. First tokens and
// progress of streams can wait for others: they are most of the events, and each
// message costs 30 bytes besides what it says.
func (m *upMessage) urgent() bool {
	return m.Full || m.Beat || len(m.Flights)+len(m.Submits) > 0 || slices.ContainsFunc(m.Events, event.urgent)
}

// stamp says how old the events are as they leave.
func (m *upMessage) stamp(now time.Time) {
	for i := range m.Events {
		if e := &m.Events[i]; !e.at.IsZero() {
			e.Age = now.Sub(e.at).Milliseconds()
		}
	}
}

// downMessage goes from the scheduler to an instance; an empty one acknowledges
// a beat.
type downMessage struct {
	Grants []grantMessage `codec:"g,omitempty"`
	Sheds  []sched.Shed   `codec:"s,omitempty"`
	// Resync asks for a Full message.
	Resync bool `codec:"r,omitempty"`
	// NotScheduler says that the sender is not the scheduler by its own view.
	NotScheduler bool `codec:"n,omitempty"`
}

// digest stands for a set of IDs, whatever their order.
type digest struct {
	Count int    `codec:"c,omitempty"`
	Hash  uint64 `codec:"h,omitempty"`
}

func (d *digest) add(id string) {
	d.Count++
	d.Hash ^= xxhash.Sum64String(id)
}

func digestOf(ids []string) digest {
	var d digest
	for _, id := range ids {
		d.add(id)
	}
	return d
}
