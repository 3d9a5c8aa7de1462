package member

import (
	"sort"
	"time"
)

// PeerState is what one instance believes of another one.
type PeerState struct {
	Info   Info   `codec:"i"`
	Status Status `codec:"s"`
	// Silent is for how long the sender has heard nothing of it.
	Silent time.Duration `codec:"a"`
}

// Message is one heartbeat, with a digest in some of them.
type Message struct {
	From Info `codec:"f"`
	// Seen is the highest revision that the sender knows to have been acted on.
	Seen         uint64      `codec:"v,omitempty"`
	PeerStates   []PeerState `codec:"c,omitempty"`
	OtherDomains []Digest    `codec:"o,omitempty"`
}

// Digest is what other failure domains know of one.
type Digest struct {
	Domain string `codec:"d"`
	// Live counts its usable instances.
	Live int `codec:"l"`
	// RevisionMin is the lowest configuration revision that one of them acts on.
	RevisionMin uint64 `codec:"r"`
	// Contacts are its delegate and its instances with a data folder.
	Contacts []Info `codec:"c"`
	// Age is how long ago the domain itself said so.
	Age time.Duration `codec:"a"`
}

type domainRecord struct {
	digest Digest
	heard  time.Time
}

// Heartbeat counts and returns this instance's next heartbeat.
func (t *Table) Heartbeat() Message {
	t.self.Beat++
	return Message{From: t.self, Seen: t.RevisionSeen()}
}

// FullHeartbeat returns the latest heartbeat with all that this instance knows. To send
// it to one peer in turn, and heartbeats to all, keeps the traffic of a domain
// with n instances at n small messages a second each, where n full ones would
// grow with the square.
func (t *Table) FullHeartbeat(now time.Time) Message {
	m := Message{From: t.self, Seen: t.RevisionSeen()}
	for _, r := range t.members {
		if r.info.Domain == t.self.Domain {
			m.PeerStates = append(m.PeerStates, PeerState{Info: r.info, Status: r.status, Silent: now.Sub(r.heard)})
		}
	}
	sort.Slice(m.PeerStates, func(i, j int) bool { return m.PeerStates[i].Info.Name < m.PeerStates[j].Info.Name })
	m.OtherDomains = t.Domains(now)
	return m
}

// Delegate returns the member that speaks for this failure domain: the first
// usable one by name, which all that have the same view agree on. Two at once
// are harmless.
func (t *Table) Delegate(now time.Time) string {
	for _, m := range t.Members(now) {
		if m.Domain == t.self.Domain && m.Usable() {
			return m.Name
		}
	}
	return t.self.Name
}

// Digest returns what other failure domains are told of this one.
func (t *Table) Digest(now time.Time) Digest {
	d := Digest{Domain: t.self.Domain}
	delegate := t.Delegate(now)
	for _, m := range t.Members(now) {
		if m.Domain != t.self.Domain || m.Status == Left || m.Status == Dead {
			continue
		}
		if m.Usable() {
			if d.Live == 0 || m.Revision < d.RevisionMin {
				d.RevisionMin = m.Revision
			}
			d.Live++
		}
		if m.Data || m.Name == delegate {
			d.Contacts = append(d.Contacts, m.Info)
		}
	}
	return d
}

// Domains returns the digests of the other failure domains, ordered by name.
func (t *Table) Domains(now time.Time) []Digest {
	var all []Digest
	for _, r := range t.domains {
		d := r.digest
		d.Age = now.Sub(r.heard)
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Domain < all[j].Domain })
	return all
}

// DomainSilent reports whether nothing recent is known of a failure domain.
func (t *Table) DomainSilent(now time.Time, domain string) bool {
	r, ok := t.domains[domain]
	return !ok || now.Sub(r.heard) > t.cfg.DomainSilentAfter
}

// Receive takes a message in. The result says that others suspect this instance
// and that it refuted that: its next heartbeat should go out at once.
func (t *Table) Receive(now time.Time, m Message) (refuted bool) {
	t.seen = max(t.seen, m.Seen)
	refuted = t.heard(now, PeerState{Info: m.From, Status: m.From.Declared})
	for _, c := range m.PeerStates {
		if c.Info.Domain == t.self.Domain {
			refuted = t.heard(now, c) || refuted
		}
	}
	for _, d := range m.OtherDomains {
		t.ReceiveDigest(now, d)
	}
	return refuted
}

// ReceiveDigest takes in what another failure domain says, directly or relayed.
// Of two digests the one that was said later counts; ages are compared, as the
// clocks of instances are not.
func (t *Table) ReceiveDigest(now time.Time, d Digest) {
	if d.Domain == t.self.Domain || d.Age < 0 {
		return
	}
	heard := now.Add(-d.Age)
	if r, ok := t.domains[d.Domain]; ok && !heard.After(r.heard) {
		return
	}
	t.domains[d.Domain] = &domainRecord{digest: d, heard: heard}
	for _, info := range d.Contacts {
		if info.Domain == d.Domain {
			t.heard(now, PeerState{Info: info, Status: info.Declared, Silent: d.Age})
		}
	}
}

func (t *Table) heard(now time.Time, c PeerState) bool {
	t.seen = max(t.seen, c.Info.Revision)
	if c.Info.Name == t.self.Name {
		return t.heardOfSelf(c)
	}
	r, known := t.members[c.Info.Name]
	if !known {
		t.learn(now, c)
		return false
	}
	if newer(c.Info, r.info) {
		r.info = c.Info
		// The time of the heartbeat itself counts, not that of the relay.
		if at := now.Add(-max(c.Silent, 0)); at.After(r.heard) {
			r.heard = at
		}
		r.become(c.Info.Declared, now)
		return false
	}
	// Another one's suspicion of the same state hastens this one's: both heard
	// the same last heartbeat.
	if c.Status == Suspect && r.status == Alive && c.Info.Incarnation == r.info.Incarnation && c.Info.Beat == r.info.Beat {
		r.become(Suspect, now)
	}
	return false
}

// learn adds an instance that is not known yet. Those that others believe gone
// are added as well, so that a late heartbeat of theirs is known to be late.
func (t *Table) learn(now time.Time, c PeerState) {
	status := c.Status
	if c.Info.Declared == Left {
		status = Left
	}
	heard := now.Add(-max(c.Silent, 0))
	t.members[c.Info.Name] = &record{info: c.Info, heard: heard, status: status, since: now}
}

// heardOfSelf refutes a belief that this instance is suspect, dead or gone. A
// process of the same name that started later, at another address, replaces
// this one instead.
func (t *Table) heardOfSelf(c PeerState) bool {
	if c.Info.Incarnation < t.self.Incarnation || t.self.Declared == Left {
		return false
	}
	if c.Info.Incarnation > t.self.Incarnation && c.Info.Address != t.self.Address {
		t.superseded = true
		return false
	}
	if c.Status == Suspect || c.Status == Dead || c.Info.Declared == Left || c.Info.Incarnation > t.self.Incarnation {
		t.self.Incarnation = c.Info.Incarnation + 1
		t.self.Beat = 0
		return true
	}
	return false
}
