package roles

import (
	"context"
	"net"
	"time"

	core "github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/origin"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/tunnel"
)

func (p *Process) follow() kernel.Module {
	return kernel.Module{Name: nameFollow, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		links.Handle(serving.ChannelLoadUpdate, nil, link.Lossy())
		return follow.New(follow.Config{
			Links: links, Domain: p.cfg.Domain, Seeds: func() []string { return *p.seeds.Load() }, Lease: p.cfg.Lease, Log: p.log,
			Report:   func() serving.Report { return p.forwarder.Load().Report() },
			OnReport: func(r *serving.Report) { p.forwarder.Load().TakeReport(r) },

			LoadUpdate: func() serving.LoadUpdate { return p.forwarder.Load().LoadUpdate() },
			ToldLoads:  func() []serving.Load { return p.forwarder.Load().ToldLoads() },
			Tunnels: func() (serves, needs bool) {
				s := p.forwarder.Load()
				return s.ServesTunnels(), s.NeedsTunnels()
			},
			Meter: p.meter,
		}), nil
	}}
}

// partitionedAfter is the time without a confirmed answer after which an instance considers itself
// cut off from the control group.
const partitionedAfter = time.Second

func (p *Process) recorder() kernel.Module {
	return kernel.Module{Name: nameQuarantine, Needs: []string{nameLinks, nameFollow}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		r := quarantine.NewRecorder(quarantine.RecorderConfig{
			Links: links, Members: state.Members, CutOff: func() bool { return state.Age() > partitionedAfter }, Log: p.events,
		})
		state.Subscribe(func(v *follow.View) { r.Update(v.Quarantine) })
		return r, nil
	}}
}

func (p *Process) limitClient() kernel.Module {
	return p.tokenClient(nameLimits, ratelimit.ChannelTokens, core.TokenLifetime)
}

func (p *Process) warmUpClient() kernel.Module {
	return p.tokenClient(nameWarmUp, ratelimit.ChannelWarmUp, warmup.PermitLifetime)
}

func (p *Process) tokenClient(name, channel string, lifetime time.Duration) kernel.Module {
	return kernel.Module{Name: name, Needs: []string{nameLinks, nameFollow}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		return ratelimit.NewClient(ratelimit.ClientConfig{
			Links: links, Members: state.Members, Forwarders: func() int { return state.View().Forwarders }, UpstreamExists: func(upstream uint64) bool { return state.View().Knows(upstream) }, Log: p.events,
			Channel: channel, Lifetime: lifetime,
		}), nil
	}}
}

func (p *Process) originRecorder() kernel.Module {
	return kernel.Module{Name: nameOrigins, Needs: []string{nameLinks, nameFollow}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		links.Handle(origin.ChannelBegun, nil, link.Lossy())
		return origin.NewRecorder(origin.RecorderConfig{Links: links, Members: state.Members, Log: p.events}), nil
	}}
}

// tunnels connects instances that are cut off from the upstreams through those that are not.
func (p *Process) tunnels() kernel.Module {
	return kernel.Module{Name: nameTunnels, Needs: []string{nameLinks, nameFollow, nameTelemetry}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		s := tunnel.New(tunnel.Config{
			Links: links, Peers: state.Peers, Allow: func(t reach.Target) bool { return relay.AllowTunnel(state.View(), t) },
			Dial: func(ctx context.Context, t reach.Target) (net.Conn, error) {
				return p.forwarder.Load().DialFor(ctx, t)
			},
		})
		tel.Set().NewGauge("tunnels_serving", func() float64 { return float64(s.Serving()) })
		tel.Set().NewGauge("tunnels_served", func() float64 { return float64(s.Served()) })
		return s, nil
	}}
}

func (p *Process) relay() kernel.Module {
	needs := []string{nameFollow, nameTelemetry, nameQuarantine, nameLimits, nameWarmUp, nameOrigins, nameTunnels}
	return kernel.Module{Name: nameRelay, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		recorder, err := kernel.Lookup[*quarantine.Recorder](k, nameQuarantine)
		if err != nil {
			return nil, err
		}
		limits, err := kernel.Lookup[*ratelimit.Client](k, nameLimits)
		if err != nil {
			return nil, err
		}
		permits, err := kernel.Lookup[*ratelimit.Client](k, nameWarmUp)
		if err != nil {
			return nil, err
		}
		origins, err := kernel.Lookup[*origin.Recorder](k, nameOrigins)
		if err != nil {
			return nil, err
		}
		tunnels, err := kernel.Lookup[*tunnel.Service](k, nameTunnels)
		if err != nil {
			return nil, err
		}
		cfg := relay.Config{
			Listen: p.cfg.Callers, Domain: p.cfg.Domain, Headers: p.dialect.Headers, State: state, FailClosed: p.cfg.FailClosed,
			Budget: p.cfg.Budget, Announce: p.cfg.Announce, DrainTimeout: p.cfg.Grace - 2*stopMargin, Log: p.events,
			Quarantine: recorder, Limits: limits, Permits: permits, Origins: origins, Dial: p.cfg.Dial, Tunnels: tunnels, OnDrain: tunnels.Retire, OnLoadChange: state.PushLoads,
			BodyBytes: p.memoryShare(bodyMemoryShare), AnswerBytes: p.memoryShare(answerMemoryShare),
			EventBytes: p.cfg.EventBytes, ShedOverload: p.cfg.ShedOverload,
		}
		if p.cfg.SlotGrants {
			cfg.Slots = state
		}
		if p.meter != nil {
			cfg.OnRequestBegun = p.meter.RecordStart
		}
		s := relay.New(cfg, tel.Set())
		state.Subscribe(s.Update)
		p.forwarder.Store(s)
		return s, nil
	}}
}

// bodyMemoryShare is the share of the memory limit that request bodies may use. Each body is
// held twice while it is sent, and a growing buffer is copied. answerMemoryShare is that of
// responses; of these a growing buffer is copied.
const (
	bodyMemoryShare   = 0.125
	answerMemoryShare = 0.125
)

// memoryShare returns a share of the memory limit in bytes.
func (p *Process) memoryShare(share float64) int64 {
	return int64(share * float64(p.cfg.MemoryMB) * (1 << 20))
}

func (p *Process) ready() kernel.Module {
	return kernel.Module{Name: nameReadyListener, Needs: []string{nameRelay}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		s, err := kernel.Lookup[*relay.Service](k, nameRelay)
		if err != nil {
			return nil, err
		}
		return newListener(p.cfg.Ready, p.dialect.Ready(s.Ready)), nil
	}}
}
