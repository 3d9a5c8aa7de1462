package order

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

const (
	pathOrders = "/v1/orders"
	// maxReads is the number of calls to engines in flight from which on no further read is started.
	maxReads = 16
	// maxFailedReads is the number of failed reads after which the first step of a term no longer waits
	// for an engine.
	maxFailedReads = 2
)

// noOrdersStatuses lists the status codes of engines that do not support orders.
var noOrdersStatuses = []int{fasthttp.StatusNotFound, fasthttp.StatusMethodNotAllowed, fasthttp.StatusNotImplemented}

// engine is the state of one engine beyond its heartbeats.
type engine struct {
	incarnation uint64
	target      upstream.Target
	serves      []string // what it announced last
	state       *core.State
	noOrders    bool
	// nextRead is when the engine is read again. failures counts consecutive reads without an answer.
	nextRead time.Time
	failures int
	// busy reports whether a call to the engine is in flight.
	busy bool
}

// known reports whether the engine was read, or reading it failed often enough.
func (e *engine) known() bool { return e.state != nil || e.noOrders || e.failures >= maxFailedReads }

// observeEngines returns the engines as the last reads show them and starts the reads that are due.
func (s *Service) observeEngines(now time.Time) []core.Engine {
	view := s.cfg.View()
	var list []core.Engine
	live, ready := map[string]bool{}, true
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		rule := s.doc.UpstreamRule(u.Name)
		if u.Kind != intent.KindEngine || rule == nil || rule.Kind != u.Kind {
			continue
		}
		live[u.Name] = true
		e := s.track(u)
		if !e.busy && !now.Before(e.nextRead) && s.callsInFlight < maxReads {
			s.read(u.Name, e)
		}
		ready = ready && e.known()
		list = append(list, describe(u, e))
	}
	s.enginesRead = s.enginesRead || ready
	for name, e := range s.engines {
		if !live[name] && !e.busy {
			delete(s.engines, name)
		}
	}
	return list
}

// track returns the state of an engine, which is empty for a new incarnation.
func (s *Service) track(u *registry.Upstream) *engine {
	e := s.engines[u.Name]
	if e == nil || e.incarnation != u.Incarnation && !e.busy {
		e = &engine{incarnation: u.Incarnation}
		s.engines[u.Name] = e
	}
	e.target = upstream.Target{Name: u.Name, Address: u.Address}
	if !slices.Equal(u.Models, e.serves) {
		e.serves, e.nextRead = u.Models, time.Time{}
	}
	return e
}

func describe(u *registry.Upstream, e *engine) core.Engine {
	d := core.Engine{
		Name: u.Name, Incarnation: u.Incarnation, HeardAt: u.HeardAt, Serves: u.Models, Slots: u.Slots,
		State: e.state, NoOrders: e.noOrders,
	}
	if e.incarnation != u.Incarnation {
		d.State, d.NoOrders = nil, false
	}
	if u.Load != nil {
		d.Running, d.Waiting = u.Load.Running, u.Load.Waiting
	}
	return d
}

// call makes one call to an engine without blocking the loop.
func (s *Service) call(e *engine, c upstream.Call, done func(now time.Time, a *upstream.Answer, err error)) {
	s.serial++
	s.callsInFlight++
	e.busy = true
	c.RequestID = s.cfg.Self + "-order-" + strconv.FormatUint(s.serial, 10)
	c.Path = pathOrders
	c.AllowNoID = true
	target := e.target
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		a, err := s.cfg.Client.Do(ctx, target, c)
		s.loop.Post(func(now time.Time) {
			s.callsInFlight--
			e.busy = false
			done(now, a, err)
			e.nextRead = now.Add(s.readDelay(e))
		})
	})
}

// readDelay returns the delay until an engine is read again.
func (s *Service) readDelay(e *engine) time.Duration {
	if e.state == nil || e.failures > 0 || len(e.state.Loading) > 0 {
		return s.cfg.LoadingReadInterval
	}
	return s.cfg.ReadInterval
}

// read reads what an engine holds. This also resolves an order whose answer was lost.
func (s *Service) read(name string, e *engine) {
	s.call(e, upstream.Call{Method: fasthttp.MethodGet}, func(now time.Time, a *upstream.Answer, err error) {
		if s.engines[name] != e {
			return
		}
		st, err := stateOf(a, err)
		switch {
		case err == nil:
			e.state, e.noOrders, e.failures = st, false, 0
			s.domain.Answered(name)
		case fault.CodeOf(err) == fault.NotFound:
			e.noOrders, e.failures = true, 0
			s.domain.NotSent(now, name)
		default:
			e.failures++
		}
	})
}

// stateOf decodes an engine's answer. It fails with fault.NotFound if the engine does not support
// orders, with fault.Conflict if it refused an old fencing number, and with fault.Unavailable for other
// unsuccessful answers.
func stateOf(a *upstream.Answer, err error) (*core.State, error) {
	if err != nil {
		return nil, err
	}
	switch {
	case a.Status == fasthttp.StatusOK, a.Status == fasthttp.StatusConflict:
	case slices.Contains(noOrdersStatuses, a.Status):
		return nil, fault.New(fault.NotFound, "the engine does not support orders: it answered %d", a.Status)
	default:
		return nil, fault.New(fault.Unavailable, "the engine answered %d", a.Status)
	}
	st := &core.State{}
	if err := json.Unmarshal(a.Body, st); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "cannot decode the engine's answer")
	}
	if a.Status == fasthttp.StatusConflict {
		return st, fault.New(fault.Conflict, "the engine has seen fencing number %d", st.Fence)
	}
	return st, nil
}
