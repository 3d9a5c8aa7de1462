package link

import (
	"context"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Limits of one accepted connection.
const (
	// maxInboundMessages is how many one-way messages of each priority may wait for their
	// handlers; further ones are dropped and counted. The two channels of a
	// connection take 8 bytes per slot.
	maxInboundMessages = 1024
	// maxInboundCalls is how many calls run concurrently; further ones are rejected.
	maxInboundCalls = 256
)

// inbound runs the handlers of one accepted connection. One-way messages run in order, with a
// goroutine for each priority, and each call runs in a goroutine of its own, so that no handler
// blocks the reader and thereby the detection of heartbeats.
type inbound struct {
	service *Service
	conn    *connection
	control chan *envelope
	bulk    chan *envelope
	calls   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newInbound(s *Service, w *connection) *inbound {
	return &inbound{
		service: s,
		conn:    w,
		control: make(chan *envelope, maxInboundMessages),
		bulk:    make(chan *envelope, maxInboundMessages),
		calls:   make(chan struct{}, maxInboundCalls),
	}
}

func (in *inbound) start(ctx context.Context) {
	in.ctx, in.cancel = context.WithCancel(ctx)
	in.running.Go(func() { in.handleMessages(in.control) })
	in.running.Go(func() { in.handleMessages(in.bulk) })
}

func (in *inbound) stop() {
	in.cancel()
	in.running.Wait()
	for _, messages := range []chan *envelope{in.control, in.bulk} {
		for len(messages) > 0 {
			in.release(<-messages)
		}
	}
}

func (in *inbound) handleMessages(messages <-chan *envelope) {
	for {
		select {
		case e := <-messages:
			if _, err := in.callHandler(e); err != nil {
				in.service.log.Debug().Err(err).Str("peer", in.conn.peer).Str("channel", e.Channel).Msg("message handler failed")
			}
			in.release(e)
		case <-in.ctx.Done():
			return
		}
	}
}

// reserve counts an envelope's bytes as held until release. It returns false if received messages
// that are not handled yet already use the whole budget.
func (in *inbound) reserve(e *envelope) bool {
	size := int64(len(e.Body))
	if in.service.receiveBudget.used.Add(size) <= in.service.receiveBudget.max {
		return true
	}
	in.service.receiveBudget.used.Add(-size)
	return false
}

func (in *inbound) release(e *envelope) { in.service.receiveBudget.used.Add(-int64(len(e.Body))) }

func (in *inbound) receive(_ *connection, e *envelope) {
	switch e.Kind {
	case kindMessage:
		in.enqueue(e)
	case kindRequest:
		if !in.reserve(e) {
			in.rejectCall(e)
			return
		}
		select {
		case in.calls <- struct{}{}:
			in.running.Go(func() { in.handleCall(e) })
		default:
			in.release(e)
			in.rejectCall(e)
		}
	}
}

func (in *inbound) enqueue(e *envelope) {
	if !in.reserve(e) {
		in.service.stats.dropped(e.Channel)
		return
	}
	messages := in.control
	if in.service.channel(e.Channel).bulk {
		messages = in.bulk
	}
	select {
	case messages <- e:
	default:
		in.release(e)
		in.service.stats.dropped(e.Channel)
	}
}

func (in *inbound) rejectCall(e *envelope) {
	in.respond(errorEnvelope(e.ID, e.Channel, fault.New(fault.NotRun, "%s already runs too many calls, or holds too many unhandled messages, to accept a call from %s", in.service.cfg.Self, in.conn.peer)))
}

func (in *inbound) handleCall(e *envelope) {
	defer func() { <-in.calls }()
	defer in.release(e)
	result, err := in.callHandler(e)
	if err != nil {
		in.respond(errorEnvelope(e.ID, e.Channel, err))
		return
	}
	body, err := Encode(result)
	if err != nil {
		in.respond(errorEnvelope(e.ID, e.Channel, err))
		return
	}
	in.respond(&envelope{Kind: kindResponse, ID: e.ID, Channel: e.Channel, Body: body})
}

func (in *inbound) callHandler(e *envelope) (any, error) {
	h := in.service.handler(e.Channel)
	if h == nil {
		return nil, fault.New(fault.NotRun, "channel %q has no handler on instance %s", e.Channel, in.service.cfg.Self)
	}
	return h(in.ctx, in.conn.peer, Message{body: e.Body})
}

// respond queues a response. If it cannot be queued, the connection is closed, so that the caller
// learns that the outcome is unknown instead of waiting.
func (in *inbound) respond(e *envelope) {
	data, err := Encode(e)
	if err == nil && len(data) > in.service.cfg.MaxMessage {
		err = fault.New(fault.TooLarge, "response of %d bytes exceeds the limit of %d", len(data), in.service.cfg.MaxMessage)
		data, _ = Encode(errorEnvelope(e.ID, e.Channel, err))
		err = nil
	}
	if err == nil {
		_, err = in.conn.sendQueue.push(&queuedMessage{channel: e.Channel, bulk: in.service.channel(e.Channel).bulk, data: data})
	}
	if err != nil {
		in.service.log.Warn().Err(err).Str("peer", in.conn.peer).Msg("response could not be queued, link closed")
		in.conn.close()
	}
}
