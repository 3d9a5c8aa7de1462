package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// Channels between instances.
const (
	// channelUp carries tickets and events to the domain's scheduler.
	channelUp = "schedule.up"
	// channelDown carries grants and refusals back.
	channelDown = "schedule.down"
)

// ticketMessage is a ticket on its way. Clocks of instances differ, so that
// times travel as durations.
type ticketMessage struct {
	Ticket sched.Ticket  `codec:"t,omitempty"`
	Age    time.Duration `codec:"a,omitempty"`
	// Left is the time to the deadline; 0 means that there is none.
	Left time.Duration `codec:"l,omitempty"`
}

func packTicket(t sched.Ticket, now time.Time) ticketMessage {
	m := ticketMessage{Ticket: t, Age: now.Sub(t.Arrived)}
	if !t.Deadline.IsZero() {
		m.Left = max(t.Deadline.Sub(now), 1)
	}
	m.Ticket.Arrived, m.Ticket.Deadline = time.Time{}, time.Time{}
	return m
}

func (m ticketMessage) unpack(now time.Time, from string) sched.Ticket {
	t := m.Ticket
	t.Instance = from
	t.Arrived = now.Add(-m.Age)
	if m.Left > 0 {
		t.Deadline = now.Add(m.Left)
	}
	return t
}

type eventKind int

const (
	eventCancel eventKind = iota + 1
	eventStarted
	eventProgress
	eventFinish
)

// event tells the scheduler what became of a ticket.
type event struct {
	Kind    eventKind     `codec:"k,omitempty"`
	ID      string        `codec:"i,omitempty"`
	Tokens  int           `codec:"n,omitempty"`
	Outcome sched.Outcome `codec:"o,omitempty"`
}

// flight is a grant in flight, told to a successor.
type flight struct {
	Ticket   ticketMessage `codec:"t,omitempty"`
	Upstream string        `codec:"u,omitempty"`
	Tokens   int           `codec:"n,omitempty"`
	Started  bool          `codec:"s,omitempty"`
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

// downMessage goes from the scheduler to an instance; an empty one acknowledges
// a beat.
type downMessage struct {
	Grants []sched.Grant `codec:"g,omitempty"`
	Sheds  []sched.Shed  `codec:"s,omitempty"`
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
