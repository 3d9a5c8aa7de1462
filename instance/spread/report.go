package spread

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// lessor is an instance that granted this one a lease.
type lessor struct {
	// leaseUntil is the end of the lease.
	leaseUntil time.Time
	// reported is the last applied revision of this instance and its children that was
	// reported to the lessor.
	reported uint64
}

// maxLease is the longest configuration lease that the settings allow.
const maxLease = 10 * time.Second

// noteLessor records an instance that granted a lease, or may have granted one in an
// answer that was lost: it waits for a report in either case.
func (s *Service) noteLessor(name string, leaseUntil time.Time, reported uint64) {
	s.mu.Lock()
	s.lessors[name] = lessor{leaseUntil: leaseUntil, reported: reported}
	s.mu.Unlock()
	s.report()
}

// report sends the revision that this instance and its children have applied to the
// lessors that have not been told of it. The next request repeats the revision in case
// a report is lost. An operator's confirm waits for the reports.
func (s *Service) report() {
	for name, applied := range s.dueReports(s.cfg.Now()) {
		if err := s.cfg.Links.Send(name, channelApplied, report{Applied: applied, Start: s.start}); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("applied revision not reported")
		}
	}
}

func (s *Service) dueReports(now time.Time) map[string]uint64 {
	due := map[string]uint64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range s.lessors {
		applied := s.state.MinAppliedExcept(now, name)
		switch {
		case now.After(l.leaseUntil):
			delete(s.lessors, name)
		case l.reported < applied:
			s.lessors[name] = lessor{leaseUntil: l.leaseUntil, reported: applied}
			due[name] = applied
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
	s.state.Report(tree.Child{Name: from, Start: r.Start}, r.Applied)
	s.mu.Unlock()
	s.report()
	return nil, nil
}
