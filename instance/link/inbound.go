package link

import (
	"context"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Bounds of one accepted connection.
const (
	// maxInboundMessages is how many one-way messages may wait for their
	// handlers; more are dropped and counted. The places for them take 8 bytes
	// each, twice for each connection.
	maxInboundMessages = 1024
	// maxInboundCalls is how many calls run at once; more are refused.
	maxInboundCalls = 256
)

// inbound runs the handlers of one accepted connection: one-way messages in
// order, control apart from bulk, and each call in a goroutine of its own, so
// that no handler holds up the reader and with it the heartbeats.
type inbound struct {
	s       *Service
	w       *wire
	control chan *envelope
	bulk    chan *envelope
	calls   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newInbound(s *Service, w *wire) *inbound {
	return &inbound{
		s:       s,
		w:       w,
		control: make(chan *envelope, maxInboundMessages),
		bulk:    make(chan *envelope, maxInboundMessages),
		calls:   make(chan struct{}, maxInboundCalls),
	}
}

func (in *inbound) start(ctx context.Context) {
	in.ctx, in.cancel = context.WithCancel(ctx)
	in.running.Go(func() { in.work(in.control) })
	in.running.Go(func() { in.work(in.bulk) })
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

func (in *inbound) work(messages <-chan *envelope) {
	for {
		select {
		case e := <-messages:
			if _, err := in.run(e); err != nil {
				in.s.log.Debug().Err(err).Str("peer", in.w.peer).Str("channel", e.Channel).Msg("message not handled")
			}
			in.release(e)
		case <-in.ctx.Done():
			return
		}
	}
}

// reserve counts an envelope's bytes until its handler has ended; false means
// that handlers are so far behind that no more may be held.
func (in *inbound) reserve(e *envelope) bool {
	size := int64(len(e.Body))
	if in.s.received.used.Add(size) <= in.s.received.max {
		return true
	}
	in.s.received.used.Add(-size)
	return false
}

func (in *inbound) release(e *envelope) { in.s.received.used.Add(-int64(len(e.Body))) }

func (in *inbound) receive(_ *wire, e *envelope) {
	switch e.Kind {
	case kindMessage:
		in.enqueue(e)
	case kindRequest:
		if !in.reserve(e) {
			in.refuse(e)
			return
		}
		select {
		case in.calls <- struct{}{}:
			in.running.Go(func() { in.answer(e) })
		default:
			in.release(e)
			in.refuse(e)
		}
	}
}

func (in *inbound) enqueue(e *envelope) {
	if !in.reserve(e) {
		in.s.stats.dropped(e.Channel)
		return
	}
	messages := in.control
	if in.s.traits(e.Channel).bulk {
		messages = in.bulk
	}
	select {
	case messages <- e:
	default:
		in.release(e)
		in.s.stats.dropped(e.Channel)
	}
}

func (in *inbound) refuse(e *envelope) {
	in.reply(failure(e.ID, e.Channel, fault.New(fault.NotRun, "%s has too many calls from %s to run", in.s.cfg.Self, in.w.peer)))
}

func (in *inbound) answer(e *envelope) {
	defer func() { <-in.calls }()
	defer in.release(e)
	result, err := in.run(e)
	if err != nil {
		in.reply(failure(e.ID, e.Channel, err))
		return
	}
	body, err := Encode(result)
	if err != nil {
		in.reply(failure(e.ID, e.Channel, err))
		return
	}
	in.reply(&envelope{Kind: kindAnswer, ID: e.ID, Channel: e.Channel, Body: body})
}

func (in *inbound) run(e *envelope) (any, error) {
	h := in.s.handler(e.Channel)
	if h == nil {
		return nil, fault.New(fault.NotRun, "channel %q has no handler on %s", e.Channel, in.s.cfg.Self)
	}
	return h(in.ctx, in.w.peer, Message{body: e.Body})
}

// reply queues an answer; when it cannot be sent, the connection ends, so that
// the caller learns that the outcome is unknown instead of waiting.
func (in *inbound) reply(e *envelope) {
	data, err := Encode(e)
	if err == nil && len(data) > in.s.cfg.MaxMessage {
		err = fault.New(fault.TooLarge, "answer of %d bytes, at most %d are allowed", len(data), in.s.cfg.MaxMessage)
		data, _ = Encode(failure(e.ID, e.Channel, err))
		err = nil
	}
	if err == nil {
		_, err = in.w.out.push(&item{channel: e.Channel, bulk: in.s.traits(e.Channel).bulk, data: data})
	}
	if err != nil {
		in.s.log.Warn().Err(err).Str("peer", in.w.peer).Msg("answer lost, link closed")
		in.w.close()
	}
}
