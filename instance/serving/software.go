package serving

import (
	"context"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// OnlySoftware returns the software version of a service if all its upstreams, and those that ended a
// short time ago, run the same one. It fails unless a quorum confirms that the state is the newest.
func (s *Service) OnlySoftware(ctx context.Context, service string) (version string, only bool, err error) {
	g, err := s.replica()
	if err != nil {
		return "", false, err
	}
	if _, err := s.confirmations.of(g).after(ctx, clock.Now()); err != nil {
		return "", false, err
	}
	found, several := false, false
	viewServing(g, func(m *serving.Machine) {
		m.Each(func(u *serving.Upstream) {
			if u.Service != service {
				return
			}
			several = several || found && u.Software != version
			version, found = u.Software, true
		})
	})
	return version, found && !several, nil
}
