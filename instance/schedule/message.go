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
	// channelDown carries grants and refusals to the other instances.
	channelDown = "schedule.down"
)

// Tickets, grants and events are encoded as arrays: they are sent for each request, and
// field names would make up a fifth of their size.

type eventKind int

const (
	eventCancel eventKind = iota + 1
	eventStarted
	eventProgress
	eventFinish
)

// event reports a change of a ticket to the scheduler.
type event struct {
	wire.Array
	Kind    eventKind
	ID      string
	Tokens  int
	Outcome sched.Outcome
	// Age is the time between the event and the departure of the message, in milliseconds.
	Age int64
	at  time.Time
}

// maxEventAge bounds the age of an event. A greater age can only come from a defect.
const maxEventAge = 10 * time.Second

// occurredAt returns when a received event occurred.
func (e event) occurredAt(now time.Time) time.Time {
	return now.Add(-min(max(millis(e.Age), 0), maxEventAge))
}

// urgent reports whether others may be waiting until the scheduler knows of the event.
func (e event) urgent() bool { return e.Kind == eventCancel || e.Kind == eventFinish }

// inFlightGrant describes a grant in flight to a new scheduler.
type inFlightGrant struct {
	wire.Array
	Ticket   ticketMessage
	Upstream string
	Tokens   int
	Started  bool
}

// upMessage goes to the scheduler. Its parts are applied in the order of the fields.
type upMessage struct {
	// Full means that InFlightGrants and Submits are the complete state of the instance.
	Full           bool            `codec:"f,omitempty"`
	InFlightGrants []inFlightGrant `codec:"g,omitempty"`
	Submits        []ticketMessage `codec:"s,omitempty"`
	Events         []event         `codec:"e,omitempty"`
	// Beat requests an acknowledgement and carries digests of the queued tickets and the
	// grants in flight, by which the scheduler detects lost messages.
	Beat     bool   `codec:"b,omitempty"`
	Waiting  digest `codec:"w,omitempty"`
	InFlight digest `codec:"y,omitempty"`
}

func (m *upMessage) empty() bool {
	return !m.Full && !m.Beat && len(m.InFlightGrants)+len(m.Submits)+len(m.Events) == 0
}

// urgent reports whether the message must be sent immediately. First tokens and progress
// of streams are collected: they are the majority of the events, and each message has an
// overhead of 30 bytes.
func (m *upMessage) urgent() bool {
	return m.Full || m.Beat || len(m.InFlightGrants)+len(m.Submits) > 0 || slices.ContainsFunc(m.Events, event.urgent)
}

// setAges sets the ages of the events before the message is sent.
func (m *upMessage) setAges(now time.Time) {
	for i := range m.Events {
		if e := &m.Events[i]; !e.at.IsZero() {
			e.Age = now.Sub(e.at).Milliseconds()
		}
	}
}

// downMessage goes from the scheduler to an instance. An empty one acknowledges a
// heartbeat.
type downMessage struct {
	Grants []grantMessage `codec:"g,omitempty"`
	Sheds  []sched.Shed   `codec:"s,omitempty"`
	// Resync requests a Full message.
	Resync bool `codec:"r,omitempty"`
	// NotScheduler means that the sender does not consider itself the scheduler.
	NotScheduler bool `codec:"n,omitempty"`
}

// digest summarises a set of IDs independently of their order.
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
