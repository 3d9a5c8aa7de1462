package serving

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// ChannelWatch carries Question and Answer.
const ChannelWatch = "serving.watch"

const (
	// maxHold bounds for how long a question is held.
	maxHold = 5 * time.Second
	// confirmTimeout bounds the read that an answer rests on. A member that is cut
	// off must say so soon, so that whoever asked goes to another one.
	confirmTimeout = 300 * time.Millisecond
	// newsBatch is for how long an answer waits for more news after the first. Upstreams
	// come and go by the hundred, one log entry each; answered one by one, instances ask
	// again and again while a member has least time for it. Short beside the seconds that an
	// operator or a leaving upstream may wait until all know.
	newsBatch = 20 * time.Millisecond
)

// WatchRequest is what an instance that follows asks.
type WatchRequest struct {
	// Index is up to where it has the state; zero for nothing.
	Index uint64 `codec:"n"`
	// MaxWaitMS is for how long the answer may wait for news, in milliseconds.
	MaxWaitMS int64 `codec:"h"`
	// Forwards says that the instance forwards requests, so that it counts among
	// those that share budgets.
	Forwards bool `codec:"w"`
	// Report is the work of the instance, and Told up to where it was told the others'
	// by this member.
	Report        Report `codec:"r"`
	NextPlacement uint64 `codec:"t"`
	// Usage is what the instance has counted, where usage is reported, and Wall its time
	// of day in nanoseconds since the Unix epoch, as long as the member's agreed time is
	// not settled.
	Usage *usage.Report `codec:"u,omitempty"`
	Wall  int64         `codec:"l,omitempty"`
	// Quarantine is up to where it has the list of quarantined requests; zero for nothing.
	Quarantine uint64 `codec:"q,omitempty"`
}

// WatchResponse is what a member knows.
type WatchResponse struct {
	Changes serving.Changes `codec:"c"`
	// Encoded are the Changes in encoded form, in place of them, where many ask for the same.
	Encoded []byte `codec:"e,omitempty"`
	// Confirmed says that a quorum has confirmed that nothing newer was committed,
	// not earlier than HeldMS milliseconds after the question came.
	Confirmed bool  `codec:"o"`
	WaitedMS  int64 `codec:"h"`
	// Domain is the failure domain of the member, Members the names of all.
	Domain  string   `codec:"d"`
	Members []string `codec:"m"`
	// Forwarders is how many instances forward requests, as far as is known.
	Forwarders int `codec:"f"`
	// Summary is the work of all instances, and Told the number to ask from next.
	Summary       Summary `codec:"r"`
	NextPlacement uint64  `codec:"t"`
	// Agreed is the agreed time in nanoseconds since the Unix epoch; zero where nothing
	// goes by it. Settled says that it will not be set any more.
	Agreed  int64 `codec:"g,omitempty"`
	Settled bool  `codec:"s,omitempty"`
	// Quarantine is what has changed in the list of quarantined requests; nil for nothing.
	Quarantine *quarantine.Changes `codec:"q,omitempty"`
}

// watch holds a question until there is news or its time is over. The confirmation
// comes last, so that what it proves is as fresh as can be.
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
		s.noteWatcher(from)
		s.noteReport(from, &q.Report)
		s.metering.take(from, arrived, &q)
	}
	s.hold(ctx, g, &q)
	a := WatchResponse{Domain: s.cfg.Domain, WaitedMS: clock.Since(arrived).Milliseconds()}
	confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
	_, err = g.Read(confirm)
	cancel()
	a.Confirmed = err == nil
	if err := s.changes(g, q.Index, &a); err != nil {
		return nil, err
	}
	quarantineMachine(g, func(m *quarantine.Machine) { a.Quarantine = m.Since(q.Quarantine) })
	st := g.Status()
	a.Members = names(st.Members)
	a.Forwarders = s.forwarders()
	a.Summary, a.NextPlacement = s.summaryFor(from, q.NextPlacement, q.Report.HasObserved)
	a.Agreed, a.Settled = s.metering.agreed(clock.Now())
	return a, nil
}

func names(members raft.Members) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

func (s *Service) hold(ctx context.Context, g *consensus.Service, q *WatchRequest) {
	s.mu.Lock()
	news := s.news
	s.mu.Unlock()
	index, quarantined := indexes(g)
	// An instance that has heard of no quarantine hears of the first one with the next news.
	behind := index > q.Index || quarantined > q.Quarantine && q.Quarantine > 0
	if behind && q.Index > 0 {
		clock.Sleep(ctx, newsBatch)
	}
	if behind || q.MaxWaitMS <= 0 {
		return
	}
	t := time.NewTimer(min(time.Duration(q.MaxWaitMS)*time.Millisecond, maxHold))
	defer t.Stop()
	select {
	case <-news:
		clock.Sleep(ctx, newsBatch)
	case <-t.C:
	case <-ctx.Done():
	}
}
