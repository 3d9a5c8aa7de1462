// Package member decides which instances of a failure domain are there. It is a
// pure state machine: time is passed in, and messages are values that a service
// carries.
//
// Each instance counts its own heartbeats and sends the count to all others of
// its failure domain; digests relay the counts. A count that has not grown for a
// while makes an instance suspect and then dead. Only the instance itself makes
// it grow, so that relayed digests cannot keep a dead instance alive. Of other
// failure domains, only a Digest each is known.
package member

import (
	"sort"
	"time"
)

// Status is what is believed of an instance.
type Status uint8

// The statuses. An instance declares Alive, Draining and Left of itself; Suspect
// and Dead are concluded by others from its silence.
const (
	Alive Status = iota + 1
	Draining
	Suspect
	Dead
	Left
)

// String returns the status's name in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Draining:
		return "draining"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Info is what an instance says about itself.
type Info struct {
	Name    string `codec:"n"`
	Domain  string `codec:"d"`
	Address string `codec:"a"`
	// Incarnation grows with each start under the same name, and when the
	// instance refutes that it is suspect or dead.
	Incarnation uint64 `codec:"i"`
	// Beat counts the heartbeats of one incarnation.
	Beat uint64 `codec:"b"`
	// Declared is Alive, Draining or Left.
	Declared Status `codec:"s"`
	// Data says that the instance has a data folder.
	Data bool `codec:"f"`
	// Revision is the configuration revision that the instance acts on.
	Revision uint64 `codec:"r"`
}

// newer reports whether a says more than b about the same name. Without this
// order, a heartbeat that was sent earlier and comes late, or is relayed in
// circles, would count as a sign of life and bring back an instance that is dead
// or has left. An instance that leaves sends nothing greater afterwards.
func newer(a, b Info) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Beat != b.Beat:
		return a.Beat > b.Beat
	}
	return a.Declared == Left && b.Declared != Left
}

// Member is an instance as others see it.
type Member struct {
	Info
	Status Status
	// Silent is how long ago a heartbeat of it was last heard of.
	Silent time.Duration
}

// Usable reports whether the member takes part in new work.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

// Config of a Table.
type Config struct {
	// SuspectAfter is the silence after which an instance is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which it is dead; it exceeds SuspectAfter.
	DeadAfter time.Duration
	// ForgetAfter is how long those dead or left are remembered. It must exceed
	// the longest delay of a message.
	ForgetAfter time.Duration
	// DomainSilentAfter is the age after which a digest says nothing any more.
	DomainSilentAfter time.Duration
}

// DefaultConfig fits heartbeats once a second: three missed make a suspect, and
// a member is dead before its upstreams' beats, which live at most 10 s, end.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:      3 * time.Second,
		DeadAfter:         6 * time.Second,
		ForgetAfter:       time.Hour,
		DomainSilentAfter: 20 * time.Second,
	}
}

// Table is one instance's view. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	self       Info
	superseded bool
	seen       uint64
	members    map[string]*record
	domains    map[string]*domainRecord
}

type record struct {
	info   Info
	heard  time.Time
	status Status
	since  time.Time
}

// New returns a table that knows only self.
func New(cfg Config, self Info) *Table {
	self.Declared = Alive
	return &Table{cfg: cfg, self: self, members: map[string]*record{}, domains: map[string]*domainRecord{}}
}

// Self returns what this instance says about itself.
func (t *Table) Self() Info { return t.self }

// Superseded reports whether a newer process took this instance's name; this
// one must end.
func (t *Table) Superseded() bool { return t.superseded }

// SetRevision states the configuration revision that this instance acts on.
func (t *Table) SetRevision(revision uint64) { t.self.Revision = revision }

// RevisionSeen returns the highest configuration revision that any instance is
// known to have acted on, this one before a restart included.
func (t *Table) RevisionSeen() uint64 { return max(t.seen, t.self.Revision) }

// Drain declares that this instance takes no new work.
func (t *Table) Drain() {
	if t.self.Declared == Alive {
		t.self.Declared = Draining
	}
}

// Leave declares that this instance ends; send the next Message to all.
func (t *Table) Leave() { t.self.Declared = Left }

// Members returns all known instances of this failure domain and of the control
// group, self included, ordered by name.
func (t *Table) Members(now time.Time) []Member {
	all := []Member{{Info: t.self, Status: t.self.Declared}}
	for _, r := range t.members {
		all = append(all, Member{Info: r.info, Status: r.status, Silent: now.Sub(r.heard)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Peers returns the names of the others that heartbeats go to: all of this
// failure domain that did not leave, so that a partition that heals is noticed.
func (t *Table) Peers() []string {
	var names []string
	for name, r := range t.members {
		if r.info.Domain == t.self.Domain && r.status != Left {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address returns where an instance listens for links.
func (t *Table) Address(name string) (string, bool) {
	r, ok := t.members[name]
	if !ok || r.info.Address == "" {
		return "", false
	}
	return r.info.Address, true
}

// Tick concludes suspicion and death from silence and forgets old entries.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.members {
		silent := now.Sub(r.heard)
		switch {
		case (r.status == Left || r.status == Dead) && now.Sub(r.since) > t.cfg.ForgetAfter:
			delete(t.members, name)
		case r.status == Left || r.status == Dead:
		case r.info.Domain != t.self.Domain:
			// Only digests, which come seldom, tell of it: silence proves little.
			if silent > t.cfg.DomainSilentAfter {
				r.become(Suspect, now)
			}
			if silent > t.cfg.ForgetAfter {
				delete(t.members, name)
			}
		case silent > t.cfg.DeadAfter:
			r.become(Dead, now)
		case silent > t.cfg.SuspectAfter:
			r.become(Suspect, now)
		}
	}
	for name, d := range t.domains {
		if now.Sub(d.heard) > t.cfg.ForgetAfter {
			delete(t.domains, name)
		}
	}
}

func (r *record) become(s Status, now time.Time) {
	if r.status != s {
		r.status = s
		r.since = now
	}
}
