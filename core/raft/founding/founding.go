// Package founding is the exchange by which listed instances found a control
// group, as a pure state machine. A history begins only when every founder has
// said that its disk is empty and has made the same charter durable.
//
// Two histories cannot begin: a disk takes at most one charter and never another
// (a wiped one has a new member ID, so it is no part of the old charter), and a
// founder goes on only once all founders of its charter have taken it. Empty
// disks by themselves do nothing, since an operator lists the founders.
package founding

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// ResendInterval is the time between two sendings of what was not answered yet. It is a
// good part of the time that founders which start together need to begin.
const ResendInterval = 200 * time.Millisecond

// Phase says how far a founder is.
type Phase uint8

// The phases of a founder. They are persisted, and never go back.
const (
	// Empty means that the disk has no charter.
	Empty Phase = iota
	// Chartered means that the charter is durable here, maybe not elsewhere.
	Chartered
	// Founded means that the charter is durable at every founder.
	Founded
)

// Charter is what a group is founded on.
type Charter struct {
	Cluster raft.ClusterID `codec:"c"`
	// Members are the founders, all voters, sorted by ID.
	Members raft.Members `codec:"m"`
}

// State is what a founder persists.
type State struct {
	Phase   Phase   `codec:"p"`
	Charter Charter `codec:"c"`
}

// Kind says what a Message is.
type Kind uint8

// The kinds of messages.
const (
	// Offer tells the first founder a member's ID and that its disk is empty.
	Offer Kind = iota + 1
	// Propose carries the charter.
	Propose
	// Accept says that the charter is durable at the sender.
	Accept
	// Refuse says that the sender cannot be a founder, with the reason.
	Refuse
)

// Message goes from one founder to another, by name, since the members' IDs are
// not known yet.
type Message struct {
	Kind     Kind          `codec:"k"`
	From     string        `codec:"f"`
	ID       raft.MemberID `codec:"i"`
	Founders []string      `codec:"l"`
	Charter  Charter       `codec:"c"`
	Reason   string        `codec:"r"`
}

// Envelope is a message with the name of its receiver.
type Envelope struct {
	To  string
	Msg Message
}

// Ready is what a founder wants done: State, if not nil, is to be synced before
// Messages are sent, since an Accept promises it.
type Ready struct {
	State    *State
	Messages []Envelope
}

// Founder is one instance in the exchange. It is not safe for concurrent use.
type Founder struct {
	name     string
	id       raft.MemberID
	founders []string
	cluster  raft.ClusterID
	state    State
	changed  bool
	offers   map[string]raft.MemberID
	accepted map[string]bool
	refused  map[string]string
	resendAt time.Time
	out      []Envelope
}

// New returns a founder. id is the member ID of its disk, founders the names that
// the operator listed at every founder, its own among them, and cluster a random
// ID that counts if this one comes first in the list. It fails with fault.Invalid.
func New(name string, id raft.MemberID, founders []string, cluster raft.ClusterID, state State) (*Founder, error) {
	list := slices.Clone(founders)
	slices.Sort(list)
	if len(slices.Compact(slices.Clone(list))) != len(list) || !slices.Contains(list, name) || len(list) > raft.MaxMembers {
		return nil, fault.New(fault.Invalid, "founders: up to %d different names with %q among them are needed", raft.MaxMembers, name)
	}
	return &Founder{name: name, id: id, founders: list, cluster: cluster, state: state,
		offers: map[string]raft.MemberID{name: id}, accepted: map[string]bool{}, refused: map[string]string{}}, nil
}

// State returns what is persisted, or will be after the next Ready.
func (f *Founder) State() State { return f.state }

// Refusals returns why others refused, by name.
func (f *Founder) Refusals() map[string]string { return f.refused }

// Tick lets time pass.
func (f *Founder) Tick(now time.Time) {
	if now.Before(f.resendAt) {
		return
	}
	f.resendAt = now.Add(ResendInterval)
	switch f.state.Phase {
	case Empty:
		f.send(f.founders[0], Message{Kind: Offer})
		f.proposeIfComplete()
	case Chartered:
		f.spread()
	}
}

// spread sends the charter and the acceptance to all: any of them may have lost
// the messages, or the one that proposed may be gone.
func (f *Founder) spread() {
	for _, to := range f.founders {
		f.send(to, Message{Kind: Propose, Charter: f.state.Charter})
		f.send(to, Message{Kind: Accept, Charter: f.state.Charter})
	}
}

// Step handles a message.
func (f *Founder) Step(m Message) {
	if !slices.Contains(f.founders, m.From) || m.From == f.name {
		return
	}
	switch {
	case m.Kind == Refuse:
		f.refused[m.From] = m.Reason
	case !slices.Equal(m.Founders, f.founders):
		f.refuse(m.From, "my list of founders is another one")
	case m.Kind == Offer:
		f.handleOffer(m)
	case m.Kind == Propose:
		f.handlePropose(m)
	case m.Kind == Accept:
		f.handleAccept(m)
	}
}

func (f *Founder) handleOffer(m Message) {
	if f.state.Phase == Empty {
		f.offers[m.From] = m.ID
		f.proposeIfComplete()
		return
	}
	if member, ok := f.state.Charter.Members.Get(m.ID); !ok || member.Name != m.From {
		f.refuse(m.From, "my disk has a history that your disk is no part of; join it as a new member")
		return
	}
	f.send(m.From, Message{Kind: Propose, Charter: f.state.Charter})
}

// proposeIfComplete makes the charter at the first founder once all have offered.
func (f *Founder) proposeIfComplete() {
	if f.state.Phase != Empty || f.name != f.founders[0] || len(f.offers) != len(f.founders) {
		return
	}
	var members raft.Members
	for _, name := range f.founders {
		members = append(members, raft.Member{ID: f.offers[name], Name: name, Voter: true})
	}
	slices.SortFunc(members, func(a, b raft.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.take(Charter{Cluster: f.cluster, Members: members})
}

// take accepts a charter for good.
func (f *Founder) take(c Charter) {
	f.state = State{Phase: Chartered, Charter: c}
	f.changed = true
	f.accepted = map[string]bool{f.name: true}
	f.spread()
	f.finish()
}

func (f *Founder) handlePropose(m Message) {
	if f.state.Phase != Empty {
		if !same(f.state.Charter, m.Charter) {
			f.refuse(m.From, "my disk has another charter")
			return
		}
		f.send(m.From, Message{Kind: Accept, Charter: f.state.Charter})
		return
	}
	if member, ok := m.Charter.Members.Get(f.id); !ok || member.Name != f.name {
		f.refuse(m.From, "the charter names another disk of mine")
		return
	}
	f.take(m.Charter)
}

func (f *Founder) handleAccept(m Message) {
	if f.state.Phase == Empty || !same(f.state.Charter, m.Charter) {
		return
	}
	f.accepted[m.From] = true
	f.finish()
}

func (f *Founder) finish() {
	if f.state.Phase == Chartered && len(f.accepted) == len(f.founders) {
		f.state.Phase = Founded
		f.changed = true
		// The others may wait for nothing but this acceptance.
		f.spread()
	}
}

func same(a, b Charter) bool { return a.Cluster == b.Cluster && slices.Equal(a.Members, b.Members) }

func (f *Founder) refuse(to, reason string) { f.send(to, Message{Kind: Refuse, Reason: reason}) }

func (f *Founder) send(to string, m Message) {
	if to == f.name {
		return
	}
	m.From, m.ID, m.Founders = f.name, f.id, f.founders
	f.out = append(f.out, Envelope{To: to, Msg: m})
}

// Ready returns what is to be done now.
func (f *Founder) Ready() Ready {
	r := Ready{Messages: f.out}
	if f.changed {
		s := f.state
		r.State = &s
	}
	f.out, f.changed = nil, false
	return r
}
