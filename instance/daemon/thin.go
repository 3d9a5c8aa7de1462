package daemon

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
)

// idle gives a service without goroutines its Start and Stop.
type idle struct{}

func (idle) Start(context.Context) error { return nil }
func (idle) Stop(context.Context) error  { return nil }

// localRegistry is the view of upstreams that announced themselves here.
type localRegistry struct {
	idle
	mu    sync.Mutex
	beats map[string]localBeat
	// changed is called after an announcement was taken.
	changed func(now time.Time)
}

type localBeat struct {
	announce.Beat
	expires time.Time
}

func (d *Daemon) registry() kernel.Module {
	return kernel.Module{Name: nameRegistry, New: func(*kernel.Kernel) (kernel.Service, error) {
		return &localRegistry{beats: map[string]localBeat{}}, nil
	}}
}

// Announce implements gateway.Registry.
func (r *localRegistry) Announce(now time.Time, b *announce.Beat) error {
	if r.take(now, b) {
		r.changed(now)
	}
	return nil
}

func (r *localRegistry) take(now time.Time, b *announce.Beat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.beats[b.Name]; ok && !b.Newer(old.Incarnation, old.Sequence) {
		return false
	}
	r.beats[b.Name] = localBeat{Beat: *b, expires: now.Add(b.TTL())}
	return true
}

// Models implements gateway.Registry.
func (r *localRegistry) Models() []string {
	var out []string
	for _, b := range r.live(intent.KindEngine) {
		out = append(out, b.Models...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (r *localRegistry) live(kind intent.UpstreamKind) []announce.Beat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []announce.Beat
	now := time.Now()
	for _, b := range r.beats {
		if !b.Leave && now.Before(b.expires) && b.Kind == kind {
			out = append(out, b.Beat)
		}
	}
	return out
}

// localQueue runs the scheduler for this instance alone.
type localQueue struct {
	mu       sync.Mutex
	s        *sched.Scheduler
	waiting  map[string]chan sched.Effect
	registry *localRegistry
	stop     chan struct{}
}

func (d *Daemon) schedule() kernel.Module {
	return kernel.Module{Name: nameSchedule, Needs: []string{nameConfig, nameRegistry}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		r, err := kernel.Lookup[*localRegistry](k, nameRegistry)
		if err != nil {
			return nil, err
		}
		c, err := kernel.Lookup[*config.Service](k, nameConfig)
		if err != nil {
			return nil, err
		}
		q := &localQueue{
			s:       sched.New(sched.Config{}, rand.New(rand.NewSource(time.Now().UnixNano()))),
			waiting: map[string]chan sched.Effect{}, registry: r, stop: make(chan struct{}),
		}
		r.changed = q.tick
		c.Subscribe(func(v *config.View) {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.s.SetClasses(v.Document)
			q.s.SetOrganisations(v.Document)
		})
		return q, nil
	}}
}

const localTick = 50 * time.Millisecond

// Start implements kernel.Service.
func (q *localQueue) Start(context.Context) error {
	go func() {
		t := time.NewTicker(localTick)
		defer t.Stop()
		for {
			select {
			case <-q.stop:
				return
			case now := <-t.C:
				q.tick(now)
			}
		}
	}()
	return nil
}

// Stop implements kernel.Service.
func (q *localQueue) Stop(context.Context) error {
	close(q.stop)
	return nil
}

func (q *localQueue) tick(now time.Time) {
	var list []sched.Upstream
	for _, b := range q.registry.live(intent.KindEngine) {
		list = append(list, sched.Upstream{Name: b.Name, Address: b.Address, Models: b.Models, Slots: b.Slots, Load: b.Load, LoadAt: now})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.s.SetUpstreams(now, list))
	q.deliver(q.s.Tick(now))
}

func (q *localQueue) deliver(effects []sched.Effect) {
	for _, e := range effects {
		if ch, ok := q.waiting[e.TicketID()]; ok {
			delete(q.waiting, e.TicketID())
			ch <- e
		}
	}
}

// Acquire implements dispatch.Queue.
func (q *localQueue) Acquire(ctx context.Context, t sched.Ticket) (dispatch.Lease, error) {
	ch := make(chan sched.Effect, 1)
	q.mu.Lock()
	q.waiting[t.ID] = ch
	q.deliver(q.s.Submit(time.Now(), t))
	q.mu.Unlock()
	select {
	case e := <-ch:
		return q.outcome(e)
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.waiting, t.ID)
		q.deliver(q.s.Cancel(time.Now(), t.ID))
		return nil, fault.Wrap(ctx.Err(), fault.Canceled, "gave up in the queue")
	}
}

func (q *localQueue) outcome(e sched.Effect) (dispatch.Lease, error) {
	switch e := e.(type) {
	case sched.Grant:
		return &localLease{q: q, g: e}, nil
	case sched.Shed:
		return nil, fault.New(fault.Overloaded, "not run: %s", e.Reason).After(e.RetryAfter)
	}
	return nil, fault.New(fault.Internal, "unknown effect %T", e)
}

type localLease struct {
	q *localQueue
	g sched.Grant
}

func (l *localLease) Grant() sched.Grant { return l.g }

func (l *localLease) FirstToken() {
	l.q.mu.Lock()
	defer l.q.mu.Unlock()
	l.q.s.Started(time.Now(), l.g.ID)
}

func (l *localLease) Progress(tokens int) {
	l.q.mu.Lock()
	defer l.q.mu.Unlock()
	l.q.s.Progress(time.Now(), l.g.ID, tokens)
}

func (l *localLease) Done(o sched.Outcome) {
	l.q.mu.Lock()
	defer l.q.mu.Unlock()
	l.q.deliver(l.q.s.Finish(time.Now(), l.g.ID, o))
}

// localControl holds the intent in this process alone.
type localControl struct {
	idle
	mu sync.Mutex
	c  *config.Service
}

func (d *Daemon) control() kernel.Module {
	return kernel.Module{Name: nameControl, Needs: []string{nameConfig}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		c, err := kernel.Lookup[*config.Service](k, nameConfig)
		if err != nil {
			return nil, err
		}
		doc, err := intentfile.Load(d.cfg.Control.FoundingIntent)
		if err != nil {
			return nil, err
		}
		c.Apply(1, doc)
		return &localControl{c: c}, nil
	}}
}

// Latest implements admin.Control.
func (l *localControl) Latest(context.Context) (*config.View, error) { return l.c.Current() }

// Confirm implements admin.Control.
func (l *localControl) Confirm(_ context.Context, op string, req *admin.ConfirmRequest) (*admin.Confirmation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := l.c.Current()
	if err != nil {
		return nil, err
	}
	if v.Revision != req.Base {
		return nil, fault.New(fault.Conflict, "planned from revision %d, but %d is in force", req.Base, v.Revision)
	}
	l.c.Apply(req.Base+1, req.Document)
	return &admin.Confirmation{Revision: req.Base + 1, Number: req.Number, Operator: op, At: time.Now()}, nil
}
