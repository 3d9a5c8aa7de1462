// Package member tracks the membership of a failure domain. It is a pure state machine:
// time is passed in, and messages are values that a service transports.
//
// Each instance counts its own heartbeats and sends the count to all others of its failure
// domain; full heartbeats relay the counts of other instances. An instance whose count has
// not increased for a while becomes suspect and then dead. Only the instance itself
// increases its count, so relayed counts cannot keep a dead instance alive. Of each other
// failure domain, only a Digest is known.
package member

import (
	"sort"
	"time"
)

// Status is the believed status of an instance.
type Status uint8

// The statuses. An instance declares itself Alive, Draining or Left; others conclude
// Suspect and Dead from missing heartbeats.
const (
	Alive Status = iota + 1
	Draining
	Suspect
	Dead
	Left
)

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

// Info is what an instance reports about itself.
type Info struct {
	Name    string `codec:"n"`
	Domain  string `codec:"d"`
	Address string `codec:"a"`
	// Incarnation increases with each start under the same name, and when the instance
	// refutes that it is suspect or dead.
	Incarnation uint64 `codec:"i"`
	// Beat counts the heartbeats of one incarnation.
	Beat uint64 `codec:"b"`
	// Declared is Alive, Draining or Left.
	Declared Status `codec:"s"`
	// Data reports whether the instance has a data folder.
	Data bool `codec:"f"`
	// Revision is the configuration revision that the instance has applied.
	Revision uint64 `codec:"r"`
}

// newer reports whether a is newer than b, which has the same name. Without this order, a
// heartbeat that is delayed, or relayed in a cycle, would count as a sign of life and
// revive an instance that is dead or has left. An instance that leaves sends nothing newer
// afterwards.
func newer(a, b Info) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Beat != b.Beat:
		return a.Beat > b.Beat
	}
	return a.Declared == Left && b.Declared != Left
}

// Member is an instance as seen by others.
type Member struct {
	Info
	Status Status
	// Silent is the time since its last heartbeat.
	Silent time.Duration
}

// Usable reports whether the member may be given new work.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

// Config configures a Table.
type Config struct {
	// SuspectAfter is the time without a heartbeat after which an instance is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the time without a heartbeat after which an instance is dead; it exceeds
	// SuspectAfter.
	DeadAfter time.Duration
	// ForgetAfter is how long dead instances and those that left are remembered. It must
	// exceed the longest delay of a message.
	ForgetAfter time.Duration
	// DomainSilentAfter is the age after which a digest of another failure domain is
	// outdated.
	DomainSilentAfter time.Duration
}

// DefaultConfig is meant for one heartbeat a second: an instance is suspect after three
// missed heartbeats, and dead before the heartbeats of its upstreams expire, which are
// valid for at most 10 s.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:      3 * time.Second,
		DeadAfter:         6 * time.Second,
		ForgetAfter:       time.Hour,
		DomainSilentAfter: 20 * time.Second,
	}
}

// Table is one instance's view of the membership. It is not safe for concurrent use.
type Table struct {
	cfg             Config
	self            Info
	superseded      bool
	maxRevisionSeen uint64
	members         map[string]*record
	domains         map[string]*domainRecord
}

type record struct {
	info        Info
	lastHeard   time.Time
	status      Status
	statusSince time.Time
}

// New returns a table that contains only self.
func New(cfg Config, self Info) *Table {
	self.Declared = Alive
	return &Table{cfg: cfg, self: self, members: map[string]*record{}, domains: map[string]*domainRecord{}}
}

// Self returns what this instance reports about itself.
func (t *Table) Self() Info { return t.self }

// Superseded reports whether a newer process took over the name of this instance. This
// process must then end.
func (t *Table) Superseded() bool { return t.superseded }

// SetRevision sets the configuration revision that this instance has applied.
func (t *Table) SetRevision(revision uint64) { t.self.Revision = revision }

// RevisionSeen returns the highest configuration revision that any instance is known to
// have applied, including this one before a restart.
func (t *Table) RevisionSeen() uint64 { return max(t.maxRevisionSeen, t.self.Revision) }

// Drain declares that this instance accepts no new work.
func (t *Table) Drain() {
	if t.self.Declared == Alive {
		t.self.Declared = Draining
	}
}

// Leave declares that this instance is ending. The next heartbeat must be sent to all
// peers.
func (t *Table) Leave() { t.self.Declared = Left }

// Members returns the instances of this failure domain and the known contacts of the
// others, self included, sorted by name.
func (t *Table) Members(now time.Time) []Member {
	all := []Member{{Info: t.self, Status: t.self.Declared}}
	for _, r := range t.members {
		all = append(all, Member{Info: r.info, Status: r.status, Silent: now.Sub(r.lastHeard)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Peers returns the names of the other instances to send heartbeats to: all of this failure
// domain that have not left, dead ones included, so that the end of a partition is noticed.
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

// Address returns the address at which an instance accepts links.
func (t *Table) Address(name string) (string, bool) {
	r, ok := t.members[name]
	if !ok || r.info.Address == "" {
		return "", false
	}
	return r.info.Address, true
}

// Tick marks instances as suspect or dead after missing heartbeats and removes old entries.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.members {
		silent := now.Sub(r.lastHeard)
		switch {
		case (r.status == Left || r.status == Dead) && now.Sub(r.statusSince) > t.cfg.ForgetAfter:
			delete(t.members, name)
		case r.status == Left || r.status == Dead:
		case r.info.Domain != t.self.Domain:
			// It is known only from digests, which are infrequent, so a missing heartbeat
			// proves little.
			if silent > t.cfg.DomainSilentAfter {
				r.setStatus(Suspect, now)
			}
			if silent > t.cfg.ForgetAfter {
				delete(t.members, name)
			}
		case silent > t.cfg.DeadAfter:
			r.setStatus(Dead, now)
		case silent > t.cfg.SuspectAfter:
			r.setStatus(Suspect, now)
		}
	}
	for name, d := range t.domains {
		if now.Sub(d.lastHeard) > t.cfg.ForgetAfter {
			delete(t.domains, name)
		}
	}
}

func (r *record) setStatus(s Status, now time.Time) {
	if r.status != s {
		r.status = s
		r.statusSince = now
	}
}
