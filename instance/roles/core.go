package roles

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/origin"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// heartbeat and electionTimeout suit a control group whose members are a few milliseconds
// apart. After a power loss of all instances, callers wait for an election: with raft's
// defaults of 200 ms and 1 s, forwarders had a configuration only after 1.7 s.
const (
	heartbeat       = 120 * time.Millisecond
	electionTimeout = 600 * time.Millisecond
	// restartTimeout is slightly longer than two heartbeats, so that leases outlast them.
	restartTimeout = 280 * time.Millisecond
)

func (p *Process) control() kernel.Module {
	return kernel.Module{Name: nameControl, Needs: []string{nameLinks, nameServing, nameQuarantine}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		list, err := kernel.Lookup[*quarantine.Service](k, nameQuarantine)
		if err != nil {
			return nil, err
		}
		applied := func(index uint64) {
			state.Applied(index)
			list.Applied(index)
		}
		s := control.New(control.Config{
			Name: p.cfg.Peer, Domain: p.cfg.Domain, DataFolder: p.cfg.DataFolder, Founders: p.founders(), Bootstrap: p.cfg.Bootstrap,
			Links: links, Members: func() []string { return p.otherSeeds() }, Log: p.log, OnFatal: p.reportFatal,
			RepairMembers: true, Faults: p.cfg.Faults, RetryDisk: true, OnApplied: applied,
			Heartbeat: heartbeat, ElectionTimeout: electionTimeout, RestartTimeout: restartTimeout,
		})
		state.control.Store(s)
		return s, nil
	}}
}

// founders returns the founding members of the control group: the seeds, which all processes
// get at the first start. It returns nil on an instance that is not a seed and has to join.
func (p *Process) founders() []string {
	if !slices.Contains(p.cfg.Seeds, p.cfg.Peer) {
		return nil
	}
	return p.cfg.Seeds
}

func (p *Process) otherSeeds() (list []string) {
	for _, seed := range *p.seeds.Load() {
		if seed != p.cfg.Peer {
			list = append(list, seed)
		}
	}
	return list
}

// servingService is the serving service with the control service of this process, which
// starts later and holds the local replica.
type servingService struct {
	*serving.Service
	control atomic.Pointer[control.Service]
}

func (p *Process) serving() kernel.Module {
	return kernel.Module{Name: nameServing, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		s := &servingService{}
		s.Service = serving.New(serving.Config{
			Name: p.cfg.Peer, Domain: p.cfg.Domain, Links: links, SilenceTimeout: p.cfg.Silence, Log: p.log, Replica: s.replica,
			Usage: p.cfg.Duties.span() > 0, BudgetWindow: p.cfg.Budget.Window,
		})
		return s, nil
	}}
}

// besideServing returns a module of a core that needs the links and the serving state alone.
func besideServing(name string, build func(links *link.Service, state *servingService) kernel.Service) kernel.Module {
	return kernel.Module{Name: name, Needs: []string{nameLinks, nameServing}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		return build(links, state), nil
	}}
}

func (p *Process) quarantine() kernel.Module {
	return besideServing(nameQuarantine, func(links *link.Service, state *servingService) kernel.Service {
		return quarantine.New(quarantine.Config{Replica: state.replica, Links: links, Log: p.log})
	})
}

func (p *Process) limitAllocator() kernel.Module {
	return besideServing(nameLimits, func(links *link.Service, state *servingService) kernel.Service {
		return ratelimit.New(ratelimit.Config{Replica: state.replica, Links: links, Limits: state})
	})
}

// warmUpAllocator allocates the permits for cold upstreams.
func (p *Process) warmUpAllocator() kernel.Module {
	return besideServing(nameWarmUp, func(links *link.Service, state *servingService) kernel.Service {
		budget := warmup.Budget{Bound: func(upstream uint64) (warmup.Bound, bool) {
			perSecond, ok := state.WarmUpRate(upstream)
			return warmup.Bound{PerSecond: perSecond, Overrun: p.cfg.WarmUp.Overrun, Slack: p.cfg.WarmUp.Slack}, ok
		}}
		return ratelimit.New(ratelimit.Config{Replica: state.replica, Links: links, Limits: budget, Channel: ratelimit.ChannelWarmUp})
	})
}

func (p *Process) origins() kernel.Module {
	return besideServing(nameOrigins, func(links *link.Service, state *servingService) kernel.Service {
		return origin.New(origin.Config{Replica: state.replica, Links: links, OnlySoftware: state.OnlySoftware, DataFolder: p.cfg.DataFolder, Log: p.log})
	})
}

func (p *Process) controlListener() kernel.Module {
	return kernel.Module{Name: nameControlListener, Needs: []string{nameServing, nameControl, nameQuarantine}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		s, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		list, err := kernel.Lookup[*quarantine.Service](k, nameQuarantine)
		if err != nil {
			return nil, err
		}
		handler := list.Handler(p.dialect.Control(s))
		return controlListener{newListener(p.cfg.Control, p.logRejections(handler)), p.cfg.CallsLag}, nil
	}}
}

// maxReason limits the path and the reason in the log line of a rejected call, in bytes,
// because they may contain text from an untrusted sender.
const maxReason = 200

// logRejections logs each call that is answered with a 4xx status. The response names the
// reason too, but the sender may not read responses.
func (p *Process) logRejections(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		status := ctx.Response.StatusCode()
		if status < fasthttp.StatusBadRequest || status >= fasthttp.StatusInternalServerError {
			return
		}
		reason := ctx.Response.Body()
		p.events.Event("call_refused").Bytes("method", ctx.Method()).Str("path", truncate(string(ctx.Path()))).Int("status", int64(status)).
			Str("from", ctx.RemoteAddr().String()).Str("reason", truncate(string(reason))).End()
	}
}

func truncate(text string) string { return text[:min(len(text), maxReason)] }

// replica returns the local member of the control group, or nil while there is none.
func (s *servingService) replica() *consensus.Service {
	if c := s.control.Load(); c != nil {
		return c.Replica()
	}
	return nil
}

// memberGauges registers gauges for the state of the local member of the control group.
func memberGauges(tel *telemetry.Service, s *servingService) {
	gauge := func(name string, value func(consensus.Status) float64) {
		tel.Set().NewGauge(name, func() float64 {
			if g := s.replica(); g != nil {
				return value(g.Status())
			}
			return 0
		})
	}
	gauge("control_term", func(st consensus.Status) float64 { return float64(st.Term) })
	gauge("control_applied_index", func(st consensus.Status) float64 { return float64(st.Applied) })
	gauge("control_voters", func(st consensus.Status) float64 { return float64(len(st.Members.Voters())) })
	gauge("control_is_leader", func(st consensus.Status) float64 {
		if st.Leader != 0 && st.Leader == st.ID {
			return 1
		}
		return 0
	})
	gauge("control_knows_leader", func(st consensus.Status) float64 {
		if st.Leader != 0 {
			return 1
		}
		return 0
	})
}
