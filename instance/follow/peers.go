package follow

import (
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// peersInterval is the time between two requests for instances that serve tunnels, while none are
// needed: a list must be at hand when the members can't be asked.
const peersInterval = 10 * time.Second

// Peers returns instances through which upstreams can be reached while this one is cut off from them.
func (f *Follower) Peers() []string {
	if list := f.peers.Load(); list != nil {
		return *list
	}
	return nil
}

// addTunnels says whether this instance serves tunnels, and asks for others if that is due.
func (f *Follower) addTunnels(q *servingsvc.WatchRequest) {
	if f.cfg.Tunnels == nil {
		return
	}
	serves, needs := f.cfg.Tunnels()
	q.Tunnels = serves
	q.WantsPeers = needs || len(f.Peers()) == 0 || clock.Since(f.peersAt) > peersInterval
}

func (f *Follower) takePeers(q *servingsvc.WatchRequest, a *servingsvc.WatchResponse) {
	if !q.WantsPeers || len(a.Peers) == 0 {
		return
	}
	list := a.Peers
	f.peers.Store(&list)
	f.peersAt = clock.Now()
}
