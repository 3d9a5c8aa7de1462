package spread

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// lessor is an instance that gave this one a lease.
type lessor struct {
	// until is when the lease ends.
	until time.Time
	// told is what it was told last that this instance and its children act on.
	told uint64
}

// maxLease is the longest configuration lease that settings allow.
const maxLease = 10 * time.Second

// noteLessor remembers who gave a lease, or may have given one in an answer that
// was lost: it waits for a report as well.
func (s *Service) noteLessor(name string, until time.Time, told uint64) {
	s.mu.Lock()
	s.lessors[name] = lessor{until: until, told: told}
	s.mu.Unlock()
	s.report()
}

// report tells those that gave this instance a lease what it and its children act
// on now, if that has grown. A report that is lost is made good by the next
// question. A confirm of an operator waits for the reports.
func (s *Service) report() {
	for name, acted := range s.dueReports(time.Now()) {
		if err := s.cfg.Links.Send(name, channelActs, report{Acted: acted, Start: s.start}); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("revision in force not reported")
		}
	}
}

func (s *Service) dueReports(now time.Time) map[string]uint64 {
	due := map[string]uint64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range s.lessors {
		acted := s.state.MinAppliedExcept(now, name)
		switch {
		case now.After(l.until):
			delete(s.lessors, name)
		case l.told < acted:
			s.lessors[name] = lessor{until: l.until, told: acted}
			due[name] = acted
		}
	}
	return due
}

func (s *Service) receiveReport(_ context.Context, from string, m link.Message) (any, error) {
	var r report
	if err := m.Decode(&r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.state.Report(tree.Child{Name: from, Start: r.Start}, r.Acted)
	s.mu.Unlock()
	s.report()
	return nil, nil
}
