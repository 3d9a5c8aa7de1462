package order

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// message is the body of POST /v1/orders, which is a published format.
type message struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role,omitempty"`
}

// send sends an order to an engine under the current lease. It reads the clock again because the
// decision took time.
func (s *Service) send(now time.Time, o core.Order) {
	e := s.engines[o.Engine]
	if e == nil || e.busy || !s.lease.Valid(s.cfg.Now()) {
		s.domain.NotSent(now, o.Engine)
		return
	}
	body, err := json.Marshal(message{Fence: s.lease.Number, Models: o.Models, Role: o.Role})
	if err != nil {
		s.domain.NotSent(now, o.Engine)
		return
	}
	l := s.lease
	c := upstream.Call{
		Method: fasthttp.MethodPost, Headers: []upstream.Header{{Name: "Content-Type", Value: "application/json"}}, Body: body,
		NotAfter: l.Until,
	}
	s.cfg.Log.Info().Str("engine", o.Engine).Uint64("fence", l.Number).Strs("models", o.Models).Int("cost_mb", o.CostMB).Msg("order")
	s.ordersInFlight++
	s.call(e, c, func(now time.Time, a *upstream.Answer, err error) {
		s.ordersInFlight--
		st, err := stateOf(a, err)
		if err == nil {
			s.handleSuccess(o, e, st)
			return
		}
		s.cfg.Log.Warn().Err(err).Str("engine", o.Engine).Uint64("fence", l.Number).Msg("order failed")
		s.handleFailure(now, o, e, l, st, a, err)
	})
}

func (s *Service) handleSuccess(o core.Order, e *engine, st *core.State) {
	if s.engines[o.Engine] == e {
		e.state, e.failures = st, 0
		s.domain.Answered(o.Engine)
	}
}

// handleFailure handles an order that failed. If the order may have arrived, or may still arrive before
// the end of its lease, it counts as in flight until the engine has been read, and the lease is not
// released before that time is over.
func (s *Service) handleFailure(now time.Time, o core.Order, e *engine, l fence.HeldLease, st *core.State, a *upstream.Answer, err error) {
	known := a != nil && a.Status < fasthttp.StatusInternalServerError
	if !known && upstream.EvidenceOf(err) == upstream.Unknown {
		s.uncertainUntil = later(s.uncertainUntil, l.Until.Add(s.cfg.MaxEffectDelay))
		e.failures++ // is read again soon
		return
	}
	if fault.CodeOf(err) == fault.Conflict && st != nil && st.Fence > l.Number {
		s.superseded(now, l)
	}
	if s.engines[o.Engine] != e {
		return
	}
	e.noOrders = e.noOrders || fault.CodeOf(err) == fault.NotFound
	if st != nil {
		e.state = st
	}
	s.domain.NotSent(now, o.Engine)
}

// superseded ends the lease under which an engine refused an order because it has seen a greater fencing
// number. The next lease has a greater number than this one.
func (s *Service) superseded(now time.Time, l fence.HeldLease) {
	switch {
	case s.lease.Number != l.Number:
	case s.orderMayArrive(now) || s.requestPending:
		s.lease.Drop()
		s.nextRequestAt = l.Until.Add(s.cfg.Margin)
	default:
		s.releaseLease()
	}
}

// orderMayArrive reports whether an order that was sent may still arrive at its engine.
func (s *Service) orderMayArrive(now time.Time) bool {
	return s.ordersInFlight > 0 || now.Before(s.uncertainUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
