// Package founding implements, as a pure state machine, the protocol by which the listed
// instances found a control group. A history begins only when every founder has reported
// that its disk is empty and has persisted the same charter.
//
// Two histories cannot begin: a disk adopts at most one charter and never replaces it (a
// wiped disk has a new member ID, so it is not part of the old charter), and a founder
// proceeds only once all founders of its charter have adopted it. Empty disks do nothing on
// their own, since an operator lists the founders.
package founding

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// ResendInterval is the time between retransmissions of unanswered messages. It accounts
// for much of the time that founders which start together need to found the group.
const ResendInterval = 200 * time.Millisecond

// Phase is the progress of a founder.
type Phase uint8

// The phases of a founder. They are persisted and never decrease.
const (
	// Empty means that the disk has no charter.
	Empty Phase = iota
	// Chartered means that the charter is persisted here, but maybe not elsewhere.
	Chartered
	// Founded means that the charter is persisted at every founder.
	Founded
)

// Charter is the identity and the initial membership of a group.
type Charter struct {
	Cluster raft.ClusterID `codec:"c"`
	// Members are the founders, all voters, sorted by ID.
	Members raft.Members `codec:"m"`
}

// State is the persistent state of a founder.
type State struct {
	Phase   Phase   `codec:"p"`
	Charter Charter `codec:"c"`
}

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages.
const (
	// Offer reports a member ID and that its disk is empty to the first founder.
	Offer Kind = iota + 1
	// Propose carries the charter.
	Propose
	// Accept reports that the sender has persisted the charter.
	Accept
	// Refuse reports that the sender cannot be a founder, with the reason.
	Refuse
)

// Message is sent from one founder to another. Founders are addressed by name, since the
// member IDs are not known yet.
type Message struct {
	Kind     Kind          `codec:"k"`
	From     string        `codec:"f"`
	ID       raft.MemberID `codec:"i"`
	Founders []string      `codec:"l"`
	Charter  Charter       `codec:"c"`
	Reason   string        `codec:"r"`
}

// Envelope is a message with the name of its recipient.
type Envelope struct {
	To  string
	Msg Message
}

// Ready is the work that a founder hands to its caller. State, if not nil, must be synced
// before Messages are sent, since an Accept promises that it was.
type Ready struct {
	State    *State
	Messages []Envelope
}

// Founder is one instance that takes part in the founding. It is not safe for concurrent
// use.
type Founder struct {
	name         string
	id           raft.MemberID
	founders     []string
	cluster      raft.ClusterID
	state        State
	stateChanged bool
	offers       map[string]raft.MemberID
	accepted     map[string]bool
	refused      map[string]string
	resendAt     time.Time
	outbox       []Envelope
}

// New returns a founder. id is the member ID of its disk, founders are the names that the
// operator listed at every founder, its own among them, and cluster is a random ID that is
// used if this founder comes first in the sorted list. It fails with fault.Invalid.
func New(name string, id raft.MemberID, founders []string, cluster raft.ClusterID, state State) (*Founder, error) {
	list := slices.Clone(founders)
	slices.Sort(list)
	if len(slices.Compact(slices.Clone(list))) != len(list) || !slices.Contains(list, name) || len(list) > raft.MaxVoters {
		return nil, fault.New(fault.Invalid, "founders: up to %d different names with %q among them are needed", raft.MaxVoters, name)
	}
	return &Founder{name: name, id: id, founders: list, cluster: cluster, state: state,
		offers: map[string]raft.MemberID{name: id}, accepted: map[string]bool{}, refused: map[string]string{}}, nil
}

// State returns the state that is persisted, or will be after the next Ready.
func (f *Founder) State() State { return f.state }

// Refusals returns the reasons of the founders that refused, by name.
func (f *Founder) Refusals() map[string]string { return f.refused }

// Tick advances the time and resends unanswered messages.
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
		f.broadcastCharter()
	}
}

// broadcastCharter sends the charter and the acceptance to all founders, since any of them
// may have missed the messages, and the founder that proposed the charter may have failed.
func (f *Founder) broadcastCharter() {
	for _, to := range f.founders {
		f.send(to, Message{Kind: Propose, Charter: f.state.Charter})
		f.send(to, Message{Kind: Accept, Charter: f.state.Charter})
	}
}

// Step processes a message of another founder; messages of anyone else are ignored.
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

// proposeIfComplete creates the charter at the first founder once all founders have sent an
// offer.
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
	f.adoptCharter(Charter{Cluster: f.cluster, Members: members})
}

// adoptCharter adopts a charter permanently.
func (f *Founder) adoptCharter(c Charter) {
	f.state = State{Phase: Chartered, Charter: c}
	f.stateChanged = true
	f.accepted = map[string]bool{f.name: true}
	f.broadcastCharter()
	f.foundIfAccepted()
}

func (f *Founder) handlePropose(m Message) {
	if f.state.Phase != Empty {
		if !sameCharter(f.state.Charter, m.Charter) {
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
	f.adoptCharter(m.Charter)
}

func (f *Founder) handleAccept(m Message) {
	if f.state.Phase == Empty || !sameCharter(f.state.Charter, m.Charter) {
		return
	}
	f.accepted[m.From] = true
	f.foundIfAccepted()
}

func (f *Founder) foundIfAccepted() {
	if f.state.Phase == Chartered && len(f.accepted) == len(f.founders) {
		f.state.Phase = Founded
		f.stateChanged = true
		// The others may be waiting only for this acceptance.
		f.broadcastCharter()
	}
}

func sameCharter(a, b Charter) bool {
	return a.Cluster == b.Cluster && slices.Equal(a.Members, b.Members)
}

func (f *Founder) refuse(to, reason string) { f.send(to, Message{Kind: Refuse, Reason: reason}) }

func (f *Founder) send(to string, m Message) {
	if to == f.name {
		return
	}
	m.From, m.ID, m.Founders = f.name, f.id, f.founders
	f.outbox = append(f.outbox, Envelope{To: to, Msg: m})
}

// Ready returns the work to be done now.
func (f *Founder) Ready() Ready {
	r := Ready{Messages: f.outbox}
	if f.stateChanged {
		s := f.state
		r.State = &s
	}
	f.outbox, f.stateChanged = nil, false
	return r
}
