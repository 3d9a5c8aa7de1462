package serving

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const channelLoads = "serving.loads"

const (
	// loadsEvery is the time between two exchanges of loads among members while
	// upstreams are busy, and loadsSeldom while they are not.
	loadsEvery  = 100 * time.Millisecond
	loadsSeldom = 300 * time.Millisecond
	// loadsAge is for how long a load counts without a newer one.
	loadsAge = 1500 * time.Millisecond
)

// Load is the work that one instance, or several, have under way at an upstream, or
// bring to a service by one of its routes.
// Upstreams' own reports lag and cost; what was sent to them is known at once.
type Load struct {
	// ID is the upstream's or the service's; Route is set for a service.
	ID    string `codec:"i"`
	Route string `codec:"t,omitempty"`
	// Active counts requests at an upstream, Reading the prompt tokens that wait to be
	// read for them, Held those that they hold in memory.
	Active  int `codec:"a,omitempty"`
	Reading int `codec:"r,omitempty"`
	Held    int `codec:"h,omitempty"`
	// The others are the fields of balance.RouteLoad: prompt tokens, requests in
	// thousandths, the gap in milliseconds, the place in hundredths.
	Tokens   int `codec:"k,omitempty"`
	Unread   int `codec:"u,omitempty"`
	Requests int `codec:"n,omitempty"`
	Recent   int `codec:"e,omitempty"`
	Gap      int `codec:"g,omitempty"`
	Place    int `codec:"p,omitempty"`
}

// plus adds what another instance reports of the same.
func (l *Load) plus(o *Load) {
	l.Active += o.Active
	l.Reading += o.Reading
	l.Held += o.Held
	l.Tokens += o.Tokens
	l.Unread += o.Unread
	l.Requests += o.Requests
	l.Recent += o.Recent
	l.Gap, l.Place = o.Gap, o.Place
}

// loadKey is what the loads of several instances are added up by.
type loadKey struct{ id, route string }

// Placed says that the shared parts of a prompt, by their hash, were sent to an
// upstream, which keeps them from then on.
type Placed struct {
	Prompt   uint64 `codec:"p"`
	Upstream string `codec:"u"`
}

// Report is what an instance tells of its work, and what it is told of the others'.
type Report struct {
	Loads []Load `codec:"l,omitempty"`
	// Placed lists what was placed since the last report.
	Placed []Placed `codec:"p,omitempty"`
	// Busy says that upstreams have much to read, so that news of loads matter.
	Busy bool `codec:"b,omitempty"`
}

type loadReport struct {
	at    time.Time
	loads []Load
	busy  bool
}

// placedNote is one Placed with who told it.
type placedNote struct {
	Placed
	from string
}

// maxPlaced bounds the notes that a member holds for instances that ask seldom, and
// maxPlacedAnswer those in one answer.
const (
	maxPlaced       = 4096
	maxPlacedAnswer = 1024
)

// placedLog holds the latest notes in order. next is the number of the one to come.
type placedLog struct {
	notes []placedNote
	next  uint64
}

func (l *placedLog) add(from string, placed []Placed) {
	for _, p := range placed {
		l.notes = append(l.notes, placedNote{p, from})
		l.next++
	}
	if extra := len(l.notes) - maxPlaced; extra > maxPlaced/4 {
		l.notes = append([]placedNote(nil), l.notes[extra:]...)
	}
}

// since returns the notes from a number on that others than the given one told. A
// number of another member's log is too high or too low; then all that is held, or
// nothing, is new, and either is harmless.
func (l *placedLog) since(number uint64, but string) (list []Placed) {
	first := l.next - uint64(len(l.notes))
	from := min(max(number, first), l.next)
	for _, n := range l.notes[from-first:] {
		if n.from != but {
			list = append(list, n.Placed)
		}
	}
	if extra := len(list) - maxPlacedAnswer; extra > 0 {
		list = list[extra:]
	}
	return list
}

// loadBook adds up the loads that instances report, by who reported them: instances
// to the member that they ask, and members to each other.
type loadBook struct{ watchers, members map[string]loadReport }

func newLoadBook() loadBook {
	return loadBook{watchers: map[string]loadReport{}, members: map[string]loadReport{}}
}

// sum adds up the loads of all but one instance, and those of the other members if
// asked for.
func (b *loadBook) sum(now time.Time, but string, others bool) []Load {
	total := map[loadKey]*Load{}
	add(total, now, b.watchers, but)
	if others {
		add(total, now, b.members, "")
	}
	list := make([]Load, 0, len(total))
	for _, l := range total {
		list = append(list, *l)
	}
	return list
}

// busy reports whether any instance but one finds upstreams busy.
func (b *loadBook) busy(now time.Time, but string, others bool) bool {
	for name, r := range b.watchers {
		if r.busy && name != but && now.Sub(r.at) < loadsAge {
			return true
		}
	}
	if others {
		for _, r := range b.members {
			if r.busy && now.Sub(r.at) < loadsAge {
				return true
			}
		}
	}
	return false
}

func add(total map[loadKey]*Load, now time.Time, reports map[string]loadReport, but string) {
	for name, report := range reports {
		if now.Sub(report.at) > loadsAge {
			delete(reports, name)
			continue
		}
		if name == but {
			continue
		}
		for i := range report.loads {
			l := &report.loads[i]
			key := loadKey{l.ID, l.Route}
			t := total[key]
			if t == nil {
				t = &Load{ID: l.ID, Route: l.Route}
				total[key] = t
			}
			t.plus(l)
		}
	}
}

// shareLoads tells the other members what the instances that ask here have under way,
// and what they have placed.
func (s *Service) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(loadsEvery)
	defer ticker.Stop()
	idle := false
	last := clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g := s.cfg.Replica()
		if g == nil {
			continue
		}
		s.mu.Lock()
		now := clock.Now()
		busy := s.loads.busy(now, "", false)
		if !busy && now.Sub(last) < loadsSeldom {
			s.mu.Unlock()
			continue
		}
		last = now
		r := Report{Loads: s.loads.sum(now, "", false), Placed: s.unsent, Busy: busy}
		s.unsent = nil
		s.mu.Unlock()
		quiet := len(r.Loads) == 0 && len(r.Placed) == 0
		if quiet && idle {
			continue
		}
		idle = quiet
		s.sendReport(g, &r)
	}
}

func (s *Service) sendReport(g *consensus.Service, r *Report) {
	st := g.Status()
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelLoads, r); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("loads not sent")
		}
	}
}

func otherNames(members raft.Members, self raft.MemberID) (list []string) {
	for _, m := range members {
		if m.ID != self {
			list = append(list, m.Name)
		}
	}
	return list
}

func (s *Service) receiveLoads(_ context.Context, from string, msg link.Message) (any, error) {
	var r Report
	if err := msg.Decode(&r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.members[from] = loadReport{at: clock.Now(), loads: r.Loads, busy: r.Busy}
	s.placed.add(from, r.Placed)
	return nil, nil
}

// noteReport takes what an instance that asks here tells.
func (s *Service) noteReport(from string, r *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.watchers[from] = loadReport{at: clock.Now(), loads: r.Loads, busy: r.Busy}
	s.placed.add(from, r.Placed)
	if len(s.unsent) < maxPlaced {
		s.unsent = append(s.unsent, r.Placed...)
	}
}

// reportFor returns what all others told, and the number from which on the next
// answer goes.
func (s *Service) reportFor(name string, since uint64) (r Report, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	return Report{Loads: s.loads.sum(now, name, true), Placed: s.placed.since(since, name), Busy: s.loads.busy(now, name, true)}, s.placed.next
}
