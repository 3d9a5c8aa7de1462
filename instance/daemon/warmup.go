package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/comfreyladder/comfreyladder/core/intent"
	coremember "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/core/reach"
	coreregistry "github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	instwarmup "github.com/comfreyladder/comfreyladder/instance/warmup"
)

// headerWarmUp, in the answer of an engine's load path, is for how many milliseconds the engine stays cold.
const headerWarmUp = "Warmup-Ms"

// warmUpService limits the requests to cold engines. Its member of the control group, if there is one here,
// grants permits while it leads.
type warmUpService struct {
	*instwarmup.Guard
	client *ratelimit.Client
}

// Start implements kernel.Service.
func (s *warmUpService) Start(ctx context.Context) error { return s.client.Start(ctx) }

// Stop implements kernel.Service.
func (s *warmUpService) Stop(ctx context.Context) error { return s.client.Stop(ctx) }

func (d *Daemon) warmUp() kernel.Module {
	needs := []string{nameLinks, nameMembers, nameConfig, nameTelemetry}
	return kernel.Module{Name: nameWarmUp, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var conf *config.Service
		var tel *telemetry.Service
		err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameConfig, &conf), lookupInto(k, nameTelemetry, &tel))
		if err != nil {
			return nil, err
		}
		group := func() *control.Service {
			c, err := kernel.Lookup[*control.Service](k, nameControl)
			if err != nil {
				return nil
			}
			return c
		}
		peers := &permitPeers{Service: links, self: d.cfg.Instance.Name, control: group, holders: func() []string { return d.controlMembers(members) }}
		peers.local = ratelimit.New(ratelimit.Config{Replica: replicaOf(group), Links: links, Limits: permitBudget(conf), Channel: ratelimit.ChannelWarmUp})
		client := ratelimit.NewClient(ratelimit.ClientConfig{
			Links: peers, Members: peers.Members, Forwarders: func() int { return liveInstances(members) }, UpstreamExists: func(uint64) bool { return true },
			Channel: ratelimit.ChannelWarmUp, Lifetime: warmup.PermitLifetime,
		})
		guard := instwarmup.New(instwarmup.Config{
			Permits: client, Log: d.log,
			RuleOf: func(engine string) instwarmup.Rule {
				v, err := conf.Current()
				if err != nil {
					return instwarmup.Rule{}
				}
				return warmUpRule(v.Document.UpstreamRule(engine))
			},
		})
		tel.Set().NewGauge("cold_upstreams", func() float64 { return float64(guard.Cold()) })
		tel.Set().RegisterMetricsWriter(func(w io.Writer) {
			metrics.WriteCounterUint64(w, "requests_to_cold_upstreams_total", guard.Sent())
			metrics.WriteCounterUint64(w, "permits_expired_total", guard.Expired())
		})
		return &warmUpService{Guard: guard, client: client}, nil
	}}
}

func replicaOf(group func() *control.Service) func() *consensus.Service {
	return func() *consensus.Service {
		if c := group(); c != nil {
			return c.Replica()
		}
		return nil
	}
}

// liveInstances counts the instances that may request permits.
func liveInstances(members *member.Service) (n int) {
	for _, m := range members.Members() {
		if m.Status < coremember.Dead {
			n++
		}
	}
	return n
}

// permitBudget returns the permits that may be granted by the newest intent. An upstream is known by its rule
// alone, since the leader knows the engines of its own failure domain only.
func permitBudget(conf *config.Service) warmup.Budget {
	var bounds atomic.Pointer[warmup.RuleBounds]
	conf.Subscribe(func(v *config.View) {
		next := warmup.RuleBounds{}
		for i := range v.Document.Upstreams {
			rule := &v.Document.Upstreams[i]
			if b, ok := rule.WarmUpBound(); ok {
				next.Add(rule.Name, b)
			}
		}
		bounds.Store(&next)
	})
	return warmup.Budget{Bound: func(upstream uint64) (warmup.Bound, bool) {
		if known := bounds.Load(); known != nil {
			return known.Bound(upstream)
		}
		return warmup.Bound{}, false
	}}
}

func warmUpRule(rule *intent.Upstream) instwarmup.Rule {
	if rule == nil {
		return instwarmup.Rule{}
	}
	_, limited := rule.WarmUpBound()
	return instwarmup.Rule{Name: rule.Name, Limited: limited, ColdFor: rule.WarmUp}
}

// update gives the guard the model engines of a view.
func (s *warmUpService) update(conf *config.Service, v *coreregistry.View) {
	c, err := conf.Current()
	if err != nil {
		return
	}
	var list []instwarmup.Engine
	limits := false
	for i := range c.Document.Upstreams {
		_, limited := c.Document.Upstreams[i].WarmUpBound()
		limits = limits || limited
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		rule := c.Document.UpstreamRule(u.Name)
		if u.Kind != intent.KindEngine || rule == nil || rule.Kind != u.Kind {
			continue
		}
		list = append(list, instwarmup.Engine{
			Name: u.Name, Incarnation: u.Incarnation, Sequence: u.Sequence, Models: u.Models,
			LeftMillis: u.WarmupLeftMillis, Age: time.Since(u.HeardAt), Rule: warmUpRule(rule),
		})
	}
	s.Update(list, limits)
}

// lost records that a connection to an engine was lost or refused.
func (s *warmUpService) lost(upstream string, refused bool) {
	if refused {
		s.Refused(upstream)
		return
	}
	s.Lost(upstream)
}

// health records for how long an engine stays cold by an answer to a check of the links.
func (s *warmUpService) health(t reach.Target, value string) {
	if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 {
		s.Stated(t.Name, time.Duration(min(ms, float64(warmup.MaxCold.Milliseconds())))*time.Millisecond)
	}
}

// permitPeers sends requests for permits to the members of the control group, of which this instance may be
// one.
type permitPeers struct {
	*link.Service
	self    string
	local   *ratelimit.Service
	control func() *control.Service
	// holders returns the other instances that may be members of the group.
	holders func() []string
	// failed is the member that did not answer the latest request; empty or nil if it did.
	failed atomic.Pointer[string]
}

// Members returns the leader, if it is known, before the other members; one that has just failed comes last.
func (p *permitPeers) Members() []string {
	list := p.holders()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if c := p.control(); c != nil {
		if c.Replica() != nil {
			list = append([]string{p.self}, list...)
		}
		if leader := c.Leader(); leader != "" {
			list = append([]string{leader}, list...)
		}
	}
	if failed := p.failed.Load(); failed != nil && len(list) > 0 {
		rest := slices.DeleteFunc(slices.Clone(list), func(name string) bool { return name == *failed })
		list = append(rest, *failed)
	}
	return list
}

// Call implements ratelimit.Caller.
func (p *permitPeers) Call(ctx context.Context, to, channel string, req, resp any) (err error) {
	defer func() {
		if err != nil {
			p.failed.Store(&to)
			return
		}
		p.failed.Store(nil)
	}()
	if to != p.self {
		return p.Service.Call(ctx, to, channel, req, resp)
	}
	a, err := p.local.Ask(ctx, req.(*ratelimit.Request))
	if err == nil {
		*resp.(*ratelimit.Response) = *a
	}
	return err
}
