package serving

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// ChannelWatch is the link channel of WatchRequest and WatchResponse.
const ChannelWatch = "serving.watch"

const (
	// maxWait bounds the time for which a request is held.
	maxWait = 5 * time.Second
	// changeBatchDelay is how long a response waits for more changes after the first one.
	// Upstreams come and go by the hundred, with one log entry each; with one response per
	// entry, instances would ask again and again while the member is busiest. The delay is
	// short compared with the seconds that an operator or a leaving upstream may wait until
	// all instances know.
	changeBatchDelay = 20 * time.Millisecond
)

// WatchRequest asks a member for changes of the serving state.
type WatchRequest struct {
	// Index is the log index up to which the instance has the state; zero for none.
	Index uint64 `codec:"n"`
	// MaxWaitMS is how long the response may wait for a change, in milliseconds.
	MaxWaitMS int64 `codec:"h"`
	// Forwards reports whether the instance forwards requests and so counts among those that
	// share budgets.
	Forwards bool `codec:"w"`
	// Report is the work of the instance. NextPlacement is the number of the first placement
	// that this member has not sent to it.
	Report        Report `codec:"r"`
	NextPlacement uint64 `codec:"t"`
	// Usage holds the request counts of the instance if usage is reported. Wall is its wall
	// clock in nanoseconds since the Unix epoch, sent until the agreed time of the member is
	// settled.
	Usage *usage.Report `codec:"u,omitempty"`
	Wall  int64         `codec:"l,omitempty"`
	// Quarantine is the log index up to which the instance has the quarantine list; zero for none.
	Quarantine uint64 `codec:"q,omitempty"`
	// Compact means that the instance takes pages and compressed changes. Continue asks for the next
	// page at once.
	Compact  bool `codec:"c,omitempty"`
	Continue bool `codec:"k,omitempty"`
	// Began is that of the page before, zero if there is none.
	Began uint64 `codec:"b,omitempty"`
	// MembersSum identifies the list of members that the instance has. MembersOnly asks for that
	// list alone.
	MembersSum  uint64 `codec:"m,omitempty"`
	MembersOnly bool   `codec:"y,omitempty"`
	// Tunnels is set if other instances may reach upstreams through this one, and WantsPeers if it
	// asks for instances through which it may.
	Tunnels    bool `codec:"o,omitempty"`
	WantsPeers bool `codec:"p,omitempty"`
	// WantsRank asks for the rank of the instance. What the response says of the members is then
	// omitted if the instance has it. Domain is the failure domain of the instance.
	WantsRank bool   `codec:"a,omitempty"`
	Domain    string `codec:"d,omitempty"`
}

// WatchResponse holds what a member knows.
type WatchResponse struct {
	Changes serving.Changes `codec:"c"`
	// Encoded replaces Changes by their encoded form, which is shared by requests for the
	// same changes.
	Encoded []byte `codec:"e,omitempty"`
	// Deflated means that Encoded is compressed, More that the changes are a page and the instance
	// has to ask for the next one.
	Deflated bool `codec:"z,omitempty"`
	More     bool `codec:"p,omitempty"`
	// Confirmed reports whether a quorum confirmed that nothing newer was committed, not
	// earlier than WaitedMS milliseconds after the request arrived.
	Confirmed bool  `codec:"o"`
	WaitedMS  int64 `codec:"h"`
	// Domain is the failure domain of the member. Members are the names of all members and Domains
	// their failure domains, as far as they are known; both are omitted if the instance has the list
	// with MembersSum.
	Domain     string   `codec:"d,omitempty"`
	Members    []string `codec:"m,omitempty"`
	Domains    []string `codec:"y,omitempty"`
	MembersSum uint64   `codec:"x,omitempty"`
	// Forwarders is the known number of instances that forward requests.
	Forwarders int `codec:"f"`
	// Rank is the position of the instance among them, counted from one, if it was asked for. They
	// are ordered by failure domain and name.
	Rank int `codec:"k,omitempty"`
	// Starting means that there may be more of them: the member has just started or missed digests.
	Starting bool `codec:"j,omitempty"`
	// Summary is the work of all instances. NextPlacement is the number of the placement to
	// ask for next.
	Summary       Summary `codec:"r"`
	NextPlacement uint64  `codec:"t"`
	// Agreed is the agreed time in nanoseconds since the Unix epoch; zero if nothing uses it.
	// Settled reports that it will not be set again.
	Agreed  int64 `codec:"g,omitempty"`
	Settled bool  `codec:"s,omitempty"`
	// Quarantine holds the changes of the quarantine list; nil if there are none.
	Quarantine *quarantine.Changes `codec:"q,omitempty"`
	// Peers are names of instances through which upstreams can be reached, if they were asked for.
	Peers []string `codec:"b,omitempty"`
}

// watch holds a request until the state changes or its wait is over. The state is confirmed
// last, so that it is as recent as possible.
func (s *Service) watch(ctx context.Context, from string, msg link.Message) (any, error) {
	arrived := clock.Now()
	var q WatchRequest
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	g, err := s.replica()
	if err != nil {
		return nil, err
	}
	if q.Forwards {
		s.recordWatcher(from, q.Domain)
		s.tunnels.record(from, arrived, q.Tunnels)
		s.recordReport(from, &q.Report)
		s.metering.record(from, arrived, &q)
	}
	a := WatchResponse{Domain: s.cfg.Domain}
	a.addMembers(g.Status().Members, q.MembersSum)
	if q.MembersOnly {
		return a, nil
	}
	s.awaitChange(ctx, g, &q)
	if !q.Compact || !lacksPages(g, q.Index) {
		// An instance that lacks more than one page can't use a confirmation.
		if at, err := s.confirmations.of(g).after(ctx, arrived); err == nil {
			a.Confirmed, a.WaitedMS = true, at.Sub(arrived).Milliseconds()
		}
	}
	if err := s.changes(g, &q, &a); err != nil {
		return nil, err
	}
	a.Confirmed = a.Confirmed && !a.More
	viewQuarantine(g, func(m *quarantine.Machine) { a.Quarantine = m.Since(q.Quarantine) })
	a.Forwarders, a.Starting = s.forwarders(), s.isStarting(clock.Now())
	if q.WantsRank {
		a.Rank = s.rank(from)
		a.omitMembers(q.MembersSum)
	}
	if q.WantsPeers {
		a.Peers = s.tunnels.peers(from, clock.Now())
	}
	a.Summary, a.NextPlacement = s.summaryFor(from, q.NextPlacement, q.Report.HasObserved)
	a.Agreed, a.Settled = s.metering.agreed(clock.Now())
	return a, nil
}

// lacksPages reports whether an instance with the state up to an index lacks more than a page.
func lacksPages(g *consensus.Service, index uint64) (more bool) {
	viewServing(g, func(m *serving.Machine) { more = m.Exceeds(index, pageUpstreams) })
	return more
}

// addMembers adds the list of members unless the instance has the one with the given sum.
func (a *WatchResponse) addMembers(members raft.Members, known uint64) {
	var sum xxhash.Digest
	for _, m := range members {
		_, _ = sum.WriteString(m.Name + " " + m.Domain + "\n")
	}
	if a.MembersSum = sum.Sum64(); a.MembersSum == known {
		return
	}
	for _, m := range members {
		a.Members, a.Domains = append(a.Members, m.Name), append(a.Domains, m.Domain)
	}
}

// omitMembers omits what is known to an instance that has the list of members with the given sum.
func (a *WatchResponse) omitMembers(known uint64) {
	if a.MembersSum == known {
		a.MembersSum, a.Domain = 0, ""
	}
}

func (s *Service) awaitChange(ctx context.Context, g *consensus.Service, q *WatchRequest) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	index, quarantined := stateIndexes(g)
	// An instance without a quarantine list gets the first entry with the next change.
	behind := index > q.Index || quarantined > q.Quarantine && q.Quarantine > 0
	if behind && q.Index > 0 && !q.Continue {
		clock.Sleep(ctx, changeBatchDelay)
	}
	if behind || q.MaxWaitMS <= 0 {
		return
	}
	t := time.NewTimer(min(time.Duration(q.MaxWaitMS)*time.Millisecond, maxWait))
	defer t.Stop()
	select {
	case <-changed:
		clock.Sleep(ctx, changeBatchDelay)
	case <-t.C:
	case <-ctx.Done():
	}
}
