package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	coremember "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

func (d *Daemon) status(p *services, g *gatewayService) admin.Status {
	lease := p.spread.Lease()
	queue := p.queue.Status()
	s := admin.Status{
		Instance: d.cfg.Instance.Name, Domain: d.cfg.Instance.FailureDomain, Revision: p.spread.Revision(),
		Leader: p.control.Leader(), LeaseValid: lease.Valid, InFlight: g.InFlight(), Scheduler: queue.Scheduler, SchedulesAs: queue.Role,
		Members: p.control.Members(), Orders: d.ordersStatus(p),
	}
	if !lease.Valid && !lease.Until.IsZero() {
		s.LeaseUntil = &lease.Until
	}
	d.addInstances(&s, p)
	d.addDomains(&s, p)
	addUpstreams(&s, p)
	return s
}

func (d *Daemon) addInstances(s *admin.Status, p *services) {
	for _, m := range p.members.Members() {
		role := "follows"
		switch {
		case m.Name == d.cfg.Instance.Name:
			role = p.control.Role()
		case m.Name == s.Leader:
			role = "leader"
		case m.Data:
			role = "holds control state"
		}
		s.Draining = s.Draining || (m.Name == d.cfg.Instance.Name && m.Status == coremember.Draining)
		s.Instances = append(s.Instances, admin.InstanceStatus{
			Name: m.Name, Domain: m.Domain, State: m.Status.String(), Role: role, Revision: m.Revision,
		})
	}
}

func (d *Daemon) addDomains(s *admin.Status, p *services) {
	newest := p.members.RevisionSeen()
	own := p.members.Domain()
	s.Domains = append(s.Domains, admin.DomainStatus{
		Name: own.Domain, Live: own.Live, Revision: own.RevisionMin, Lag: newest - min(own.RevisionMin, newest),
	})
	for _, g := range p.members.Domains() {
		st := admin.DomainStatus{Name: g.Domain, Live: g.Live, Revision: g.RevisionMin, Lag: newest - min(g.RevisionMin, newest)}
		if p.members.DomainSilent(g.Domain) {
			since := time.Now().Add(-g.Age)
			st.SilentSince = &since
		}
		s.Domains = append(s.Domains, st)
	}
}

func addUpstreams(s *admin.Status, p *services) {
	v := p.registry.View()
	now := time.Now()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		s.Upstreams = append(s.Upstreams, admin.UpstreamStatus{
			Name: u.Name, Kind: string(u.Kind), State: "live", Address: u.Address, Models: u.Models, Slots: u.Slots,
			AgeMS: now.Sub(u.HeardAt).Milliseconds(),
		})
	}
}

const channelExplain = "trace.explain"

// explainer looks up the trace of a request at the instance that served it.
type explainer struct {
	self string
	p    *services
}

type explainRequest struct {
	ID string `codec:"id"`
}

func newExplainer(self string, p *services) *explainer {
	e := &explainer{self: self, p: p}
	p.links.Handle(channelExplain, func(_ context.Context, _ string, m link.Message) (any, error) {
		var q explainRequest
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		return e.findLocal(q.ID)
	})
	return e
}

func (e *explainer) findLocal(id string) (admin.Explanation, error) {
	rec, ok := e.p.trace.Find(id)
	if !ok {
		return rec, fault.New(fault.NotFound, "request %q is unknown or its trace has been discarded", id)
	}
	return rec, nil
}

// explain fetches the trace from the instance that the request ID names. An ID
// consists of the instance's name, a dash and a random part.
func (e *explainer) explain(ctx context.Context, id string) (admin.Explanation, error) {
	i := strings.LastIndexByte(id, '-')
	if i <= 0 || id[:i] == e.self {
		return e.findLocal(id)
	}
	var rec admin.Explanation
	err := e.p.links.Call(ctx, id[:i], channelExplain, explainRequest{ID: id}, &rec)
	return rec, err
}
