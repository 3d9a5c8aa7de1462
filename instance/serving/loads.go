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
	// loadsEvery is the time between two exchanges of loads among members.
	loadsEvery = 250 * time.Millisecond
	// loadsAge is for how long a load counts without a newer one.
	loadsAge = 1500 * time.Millisecond
)

// Load is the work that one instance, or several, have under way at an upstream, or
// bring to a service.
// Upstreams' own reports lag and cost; what was sent to them is known at once.
type Load struct {
	ID string `codec:"i"`
	// Active counts requests, Reading the prompt tokens that wait to be read for
	// them, Held those that they hold in memory.
	Active  int `codec:"a"`
	Reading int `codec:"r"`
	Held    int `codec:"h"`
	// Quick and Long are set in place of these for a service: the work a second that
	// requests of both kinds bring, in prompt tokens.
	Quick int `codec:"q,omitempty"`
	Long  int `codec:"l,omitempty"`
}

type loadReport struct {
	at    time.Time
	loads []Load
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
	total := map[string]*Load{}
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

func add(total map[string]*Load, now time.Time, reports map[string]loadReport, but string) {
	for name, report := range reports {
		if now.Sub(report.at) > loadsAge {
			delete(reports, name)
			continue
		}
		if name == but {
			continue
		}
		for _, l := range report.loads {
			t := total[l.ID]
			if t == nil {
				t = &Load{ID: l.ID}
				total[l.ID] = t
			}
			t.Active += l.Active
			t.Reading += l.Reading
			t.Held += l.Held
			t.Quick += l.Quick
			t.Long += l.Long
		}
	}
}

// shareLoads tells the other members what the instances that ask here have under way.
func (s *Service) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(loadsEvery)
	defer ticker.Stop()
	idle := false
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
		loads := s.loads.sum(clock.Now(), "", false)
		s.mu.Unlock()
		if len(loads) == 0 && idle {
			continue
		}
		idle = len(loads) == 0
		s.sendLoads(g, loads)
	}
}

func (s *Service) sendLoads(g *consensus.Service, loads []Load) {
	st := g.Status()
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelLoads, loads); err != nil {
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
	var loads []Load
	if err := msg.Decode(&loads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.members[from] = loadReport{at: clock.Now(), loads: loads}
	return nil, nil
}

func (s *Service) noteLoads(from string, loads []Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.watchers[from] = loadReport{at: clock.Now(), loads: loads}
}

func (s *Service) loadsBut(name string) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.sum(clock.Now(), name, true)
}
