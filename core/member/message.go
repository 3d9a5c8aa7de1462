package member

import (
	"sort"
	"time"
)

// PeerState is what one instance believes about another one.
type PeerState struct {
	Info   Info   `codec:"i"`
	Status Status `codec:"s"`
	// Silent is the time since the last heartbeat that the sender knows of.
	Silent time.Duration `codec:"a"`
}

// Message is one heartbeat. Full heartbeats also carry the states of the peers and the
// digests of other failure domains.
type Message struct {
	From Info `codec:"f"`
	// Seen is the highest revision that the sender knows to have been applied.
	Seen         uint64      `codec:"v,omitempty"`
	PeerStates   []PeerState `codec:"c,omitempty"`
	OtherDomains []Digest    `codec:"o,omitempty"`
}

// Digest is the summary of a failure domain that other domains receive.
type Digest struct {
	Domain string `codec:"d"`
	// Live is the number of its usable instances.
	Live int `codec:"l"`
	// RevisionMin is the lowest configuration revision that one of its usable instances has
	// applied.
	RevisionMin uint64 `codec:"r"`
	// Contacts are its delegate and its instances with a data folder.
	Contacts []Info `codec:"c"`
	// Age is the time since the domain itself sent the digest.
	Age time.Duration `codec:"a"`
}

type domainRecord struct {
	digest    Digest
	lastHeard time.Time
}

// Heartbeat increments the heartbeat count and returns the next heartbeat of this instance.
func (t *Table) Heartbeat() Message {
	t.self.Beat++
	return Message{From: t.self, Seen: t.RevisionSeen()}
}

// FullHeartbeat returns the latest heartbeat with all that this instance knows. Sending it
// to one peer in turn, and plain heartbeats to all, limits the traffic to n small messages
// a second per instance in a domain with n instances; sending full ones to all would make
// it grow with the square of n.
func (t *Table) FullHeartbeat(now time.Time) Message {
	m := Message{From: t.self, Seen: t.RevisionSeen()}
	for _, r := range t.members {
		if r.info.Domain == t.self.Domain {
			m.PeerStates = append(m.PeerStates, PeerState{Info: r.info, Status: r.status, Silent: now.Sub(r.lastHeard)})
		}
	}
	sort.Slice(m.PeerStates, func(i, j int) bool { return m.PeerStates[i].Info.Name < m.PeerStates[j].Info.Name })
	m.OtherDomains = t.Domains(now)
	return m
}

// Delegate returns the member that represents this failure domain: the first usable one by
// name, on which all instances with the same view agree. Two delegates at once are
// harmless.
func (t *Table) Delegate(now time.Time) string {
	for _, m := range t.Members(now) {
		if m.Domain == t.self.Domain && m.Usable() {
			return m.Name
		}
	}
	return t.self.Name
}

// Digest returns the digest of this failure domain for the others.
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

// Domains returns the digests of the other failure domains, sorted by name.
func (t *Table) Domains(now time.Time) []Digest {
	var all []Digest
	for _, r := range t.domains {
		d := r.digest
		d.Age = now.Sub(r.lastHeard)
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Domain < all[j].Domain })
	return all
}

// DomainSilent reports whether no recent digest of a failure domain is known.
func (t *Table) DomainSilent(now time.Time, domain string) bool {
	r, ok := t.domains[domain]
	return !ok || now.Sub(r.lastHeard) > t.cfg.DomainSilentAfter
}

// Receive processes a message. It reports whether others suspected this instance and it
// refuted that; its next heartbeat should then be sent at once.
func (t *Table) Receive(now time.Time, m Message) (refuted bool) {
	t.maxRevisionSeen = max(t.maxRevisionSeen, m.Seen)
	refuted = t.applyState(now, PeerState{Info: m.From, Status: m.From.Declared})
	for _, c := range m.PeerStates {
		if c.Info.Domain == t.self.Domain {
			refuted = t.applyState(now, c) || refuted
		}
	}
	for _, d := range m.OtherDomains {
		t.ReceiveDigest(now, d)
	}
	return refuted
}

// ReceiveDigest processes a digest of another failure domain, received directly or relayed.
// Of two digests, the one that was sent later is used. Ages are compared, since the clocks
// of instances are not comparable.
func (t *Table) ReceiveDigest(now time.Time, d Digest) {
	if d.Domain == t.self.Domain || d.Age < 0 {
		return
	}
	heard := now.Add(-d.Age)
	if r, ok := t.domains[d.Domain]; ok && !heard.After(r.lastHeard) {
		return
	}
	t.domains[d.Domain] = &domainRecord{digest: d, lastHeard: heard}
	for _, info := range d.Contacts {
		if info.Domain == d.Domain {
			t.applyState(now, PeerState{Info: info, Status: info.Declared, Silent: d.Age})
		}
	}
}

func (t *Table) applyState(now time.Time, c PeerState) bool {
	t.maxRevisionSeen = max(t.maxRevisionSeen, c.Info.Revision)
	if c.Info.Name == t.self.Name {
		return t.applySelfState(c)
	}
	r, known := t.members[c.Info.Name]
	if !known {
		t.addMember(now, c)
		return false
	}
	if newer(c.Info, r.info) {
		r.info = c.Info
		// The time of the heartbeat itself counts, not the time at which it was relayed.
		if at := now.Add(-max(c.Silent, 0)); at.After(r.lastHeard) {
			r.lastHeard = at
		}
		r.setStatus(c.Info.Declared, now)
		return false
	}
	// If another instance suspects the member after the same last heartbeat, its suspicion
	// is adopted early.
	if c.Status == Suspect && r.status == Alive && c.Info.Incarnation == r.info.Incarnation && c.Info.Beat == r.info.Beat {
		r.setStatus(Suspect, now)
	}
	return false
}

// addMember adds an unknown instance. Instances that others believe to be dead or gone are
// added too, so that their late heartbeats are recognised as late.
func (t *Table) addMember(now time.Time, c PeerState) {
	status := c.Status
	if c.Info.Declared == Left {
		status = Left
	}
	heard := now.Add(-max(c.Silent, 0))
	t.members[c.Info.Name] = &record{info: c.Info, lastHeard: heard, status: status, statusSince: now}
}

// applySelfState refutes a belief that this instance is suspect, dead or gone. If a process
// of the same name started later at another address, it supersedes this one instead.
func (t *Table) applySelfState(c PeerState) bool {
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
