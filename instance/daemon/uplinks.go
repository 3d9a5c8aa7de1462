package daemon

import (
	"context"
	"math/rand/v2"
	"net"

	coremember "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
	"github.com/comfreyladder/comfreyladder/instance/tunnel"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// tunnels connects instances that are cut off from the upstreams through those that are not. Links are
// authenticated, so an instance serves another one a tunnel to any address.
func (d *Daemon) tunnels() kernel.Module {
	return kernel.Module{Name: nameTunnels, Needs: []string{nameLinks, nameMembers}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		if err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members)); err != nil {
			return nil, err
		}
		return tunnel.New(tunnel.Config{
			Links: links, Peers: func() []string { return d.tunnelPeers(members) }, Allow: func(reach.Target) bool { return true },
			Dial: func(ctx context.Context, t reach.Target) (net.Conn, error) {
				return d.uplink.Load().DirectChecked(ctx, t)
			},
		}), nil
	}}
}

// maxTunnelPeers bounds the instances of each kind, in the own failure domain and in others, that
// tunnels are opened through.
const maxTunnelPeers = 8

// tunnelPeers returns instances of the own failure domain and of others: a whole domain may be cut off.
func (d *Daemon) tunnelPeers(members *member.Service) []string {
	var own, others []string
	for _, m := range members.Members() {
		switch {
		case m.Name == d.cfg.Instance.Name || m.Status != coremember.Alive:
		case m.Domain == d.cfg.Instance.FailureDomain:
			own = append(own, m.Name)
		default:
			others = append(others, m.Name)
		}
	}
	return append(drawNames(own), drawNames(others)...)
}

func drawNames(names []string) []string {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), maxTunnelPeers)]
}

// uplinkService owns the goroutines that check the links to the upstreams.
type uplinkService struct {
	noLifecycle
	*uplink.Service
}

// Stop implements kernel.Service.
func (s *uplinkService) Stop(context.Context) error {
	s.Service.Stop()
	return nil
}

func (d *Daemon) uplinks() kernel.Module {
	return kernel.Module{Name: nameUplinks, Needs: []string{nameTunnels, nameRegistry, nameWarmUp}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var tunnels *tunnel.Service
		var upstreams *registry.Service
		var cold *warmUpService
		if err := runLookups(lookupInto(k, nameTunnels, &tunnels), lookupInto(k, nameRegistry, &upstreams), lookupInto(k, nameWarmUp, &cold)); err != nil {
			return nil, err
		}
		s := uplink.New(uplink.Config{
			Direct:  d.dialUpstream,
			Timeout: d.cfg.Upstream.ConnectTimeout, Tunnels: tunnels,
			Sample:      func(n int) []uplink.Candidate { return sampleUpstreams(upstreams, n) },
			HealthField: headerWarmUp, OnHealthField: cold.health,
			OnChange: func(c uplink.Change) {
				d.log.Warn().Str("event", "links_changed").Bool("cut_off", c.CutOff).Int("reached", c.Found.Reached).Int("failed", c.Found.Failed).
					Msg("links to the upstreams were lost or are back")
			},
			OnUnreached: func(r reach.Result) {
				d.log.Warn().Str("event", "no_upstream_reached").Int("failed", r.Failed).Msg("no upstream answered")
			},
		})
		d.uplink.Store(s)
		return &uplinkService{Service: s}, nil
	}}
}

func (d *Daemon) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	if d.Dial != nil {
		return d.Dial(ctx, address)
	}
	return tcpconn.Dial(ctx, "tcp", address)
}

// loadPath is where an engine reports its load, without a request of a caller. A plain service answers
// that there is nothing, which is an answer too.
const loadPath = "/v1/load"

// sampleUpstreams implements uplink.Config.Sample.
func sampleUpstreams(r *registry.Service, n int) (list []uplink.Candidate) {
	all := r.View().Upstreams
	for _, i := range rand.Perm(len(all))[:min(n, len(all))] {
		list = append(list, uplink.Candidate{Target: reach.Target{Name: all[i].Name, Address: all[i].Address}, HealthPath: loadPath})
	}
	return list
}
