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
	// maxReads bounds the calls to engines that are under way at a time.
	maxReads = 16
	// patience is how long a term's first step waits for engines that do not
	// answer, in calls.
	patience = 2
)

// noSuchPath lists the answers of engines that take no orders.
var noSuchPath = []int{fasthttp.StatusNotFound, fasthttp.StatusMethodNotAllowed, fasthttp.StatusNotImplemented}

// engine is what is known of one engine besides its beats.
type engine struct {
	incarnation uint64
	target      upstream.Target
	serves      []string // what it announced last
	state       *core.State
	noOrders    bool
	// next is when it is to be read again, failures counts reads in a row without
	// an answer.
	next     time.Time
	failures int
	// busy engines have a call under way.
	busy bool
}

// known reports whether the engine was read, or tried often enough.
func (e *engine) known() bool { return e.state != nil || e.noOrders || e.failures >= patience }

// look returns the engines as the last reads show them and begins those reads
// that are due.
func (s *Service) look(now time.Time) []core.Engine {
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
		if !e.busy && !now.Before(e.next) && s.calling < maxReads {
			s.read(u.Name, e)
		}
		ready = ready && e.known()
		list = append(list, describe(u, e))
	}
	s.ready = s.ready || ready
	for name, e := range s.engines {
		if !live[name] && !e.busy {
			delete(s.engines, name)
		}
	}
	return list
}

// track returns what is known of an engine; one that started anew is unknown.
func (s *Service) track(u *registry.Upstream) *engine {
	e := s.engines[u.Name]
	if e == nil || e.incarnation != u.Incarnation && !e.busy {
		e = &engine{incarnation: u.Incarnation}
		s.engines[u.Name] = e
	}
	e.target = upstream.Target{Name: u.Name, Address: u.Address}
	if !slices.Equal(u.Models, e.serves) {
		e.serves, e.next = u.Models, time.Time{}
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

// call makes one call to an engine without holding up the loop.
func (s *Service) call(e *engine, c upstream.Call, done func(now time.Time, a *upstream.Answer, err error)) {
	s.serial++
	s.calling++
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
			s.calling--
			e.busy = false
			done(now, a, err)
			e.next = now.Add(s.pause(e))
		})
	})
}

// pause returns how long an engine is not read.
func (s *Service) pause(e *engine) time.Duration {
	if e.state == nil || e.failures > 0 || len(e.state.Loading) > 0 {
		return s.cfg.LoadingReadInterval
	}
	return s.cfg.ReadInterval
}

// read asks an engine what it holds. An order whose answer was lost is settled by
// that.
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

// stateOf reads an engine's answer. It fails with fault.NotFound when the engine
// takes no orders, fault.Conflict when it refused an old number, and
// fault.Unavailable for other answers that are no success.
func stateOf(a *upstream.Answer, err error) (*core.State, error) {
	if err != nil {
		return nil, err
	}
	switch {
	case a.Status == fasthttp.StatusOK, a.Status == fasthttp.StatusConflict:
	case slices.Contains(noSuchPath, a.Status):
		return nil, fault.New(fault.NotFound, "the engine takes no orders: it answered %d", a.Status)
	default:
		return nil, fault.New(fault.Unavailable, "the engine answered %d", a.Status)
	}
	st := &core.State{}
	if err := json.Unmarshal(a.Body, st); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the engine's answer does not decode")
	}
	if a.Status == fasthttp.StatusConflict {
		return st, fault.New(fault.Conflict, "the engine has seen the number %d", st.Fence)
	}
	return st, nil
}
