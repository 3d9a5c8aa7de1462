package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/plain"
	instregistry "github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/schedule"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

type scheduleHandler = schedule.Handler

func (d *Daemon) registry() kernel.Module {
	needs := []string{nameLinks, nameMembers, nameConfig, nameSchedule, nameWarmUp}
	return kernel.Module{Name: nameRegistry, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var conf *config.Service
		var queue *queueService
		var cold *warmUpService
		err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameConfig, &conf), lookupInto(k, nameSchedule, &queue), lookupInto(k, nameWarmUp, &cold))
		if err != nil {
			return nil, err
		}
		updateScheduler := func(v *registry.View) {
			cold.update(conf, v)
			queue.SetUpstreams(trustedEngines(conf, v))
		}
		peers := &schedulePeers{Service: links, d: d, members: members}
		r := instregistry.New(instregistry.Config{
			Self: d.cfg.Instance.Name, Domain: d.cfg.Instance.FailureDomain, Links: links, Peers: func() []string { return d.livePeers(members) }, Log: d.log, OnChange: updateScheduler,
			Scheduler: func() string { return schedule.Elect(peers.Members()) },
		})
		// When a rule is removed from the intent, its upstreams go out of use at once.
		conf.Subscribe(func(*config.View) { updateScheduler(r.View()) })
		return r, nil
	}}
}

// trustedEngines returns the model engines of a view for which the intent has a
// rule of the same kind.
func trustedEngines(conf *config.Service, v *registry.View) (list []sched.Upstream) {
	c, err := conf.Current()
	if err != nil {
		return nil
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		rule := c.Document.UpstreamRule(u.Name)
		if u.Kind != intent.KindEngine || rule == nil || rule.Kind != u.Kind {
			continue
		}
		list = append(list, sched.Upstream{
			Name: u.Name, Address: u.Address, Models: u.Models, Slots: u.Slots, Load: u.Load, LoadAt: u.LoadAt, Prefixes: u.Cache.Prefixes(),
		})
	}
	return list
}

// queueService adapts the scheduler to dispatch.Queue.
type queueService struct{ *schedule.Service }

// Acquire implements dispatch.Queue.
func (q *queueService) Acquire(ctx context.Context, t sched.Ticket) (dispatch.Lease, error) {
	g, err := q.Service.Acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	return lease{g}, nil
}

// lease adapts a scheduler grant to dispatch.Lease.
type lease struct{ g *schedule.Grant }

// Grant implements dispatch.Lease.
func (l lease) Grant() sched.Grant { return l.g.Grant }

// FirstToken implements dispatch.Lease.
func (l lease) FirstToken() { l.g.FirstToken() }

// Progress implements dispatch.Lease.
func (l lease) Progress(tokens int) { l.g.Progress(tokens) }

// Done implements dispatch.Lease.
func (l lease) Done(o sched.Outcome) { l.g.Done(o) }

func (d *Daemon) schedule() kernel.Module {
	return kernel.Module{Name: nameSchedule, Needs: []string{nameLinks, nameMembers, nameConfig}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var conf *config.Service
		err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameConfig, &conf))
		if err != nil {
			return nil, err
		}
		s := schedule.New(schedule.Config{Seed: time.Now().UnixNano()}, &schedulePeers{Service: links, d: d, members: members})
		conf.Subscribe(func(v *config.View) { s.SetIntent(v.Document) })
		return &queueService{s}, nil
	}}
}

// plainService forwards calls to plain services.
type plainService struct {
	noLifecycle
	*plain.Handler
}

// Stop implements kernel.Service.
func (p *plainService) Stop(context.Context) error {
	p.Handler.Stop()
	return nil
}

// newRetryBudget returns a function that spends one retry from the shared budget
// for reads of plain services and reports whether one was left.
func newRetryBudget() func() bool {
	var mu sync.Mutex
	b := budget.New(budget.Config{})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return b.Spend(time.Now(), namePlain)
	}
}

func (d *Daemon) plain() kernel.Module {
	needs := []string{nameControl, nameClient, nameRegistry}
	return kernel.Module{Name: namePlain, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var c *control.Service
		var client *clientService
		var r *instregistry.Service
		err := runLookups(lookupInto(k, nameControl, &c), lookupInto(k, nameClient, &client), lookupInto(k, nameRegistry, &r))
		if err != nil {
			return nil, err
		}
		return &plainService{Handler: plain.New(plain.Config{
			Ledger: plain.ProposeFunc(c.Propose), Client: client.Client, Instance: d.cfg.Instance.Name,
			NewID: uuid.NewString, AllowRetry: newRetryBudget(),
			Locate: func(name string) (upstream.Target, bool) {
				u := r.View().Find(name)
				if u == nil {
					return upstream.Target{}, false
				}
				return upstream.Target{Name: u.Name, Address: u.Address}, true
			},
		})}, nil
	}}
}
