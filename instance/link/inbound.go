package link

import (
	"context"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Bounds of one accepted connection.
const (
	// maxInboundMessages is how many one-way messages may wait for their
	// handlers; more are dropped and counted.
	maxInboundMessages = 4096
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
}

func (in *inbound) work(messages <-chan *envelope) {
	for {
		select {
		case e := <-messages:
			if _, err := in.run(e); err != nil {
				in.s.log.Debug().Err(err).Str("peer", in.w.peer).Str("channel", e.Channel).Msg("message not handled")
			}
		case <-in.ctx.Done():
			return
		}
	}
}

func (in *inbound) receive(_ *wire, e *envelope) {
	switch e.Kind {
	case kindMessage:
		messages := in.control
		if in.s.traits(e.Channel).bulk {
			messages = in.bulk
		}
		select {
		case messages <- e:
		default:
			in.s.stats.dropped(e.Channel)
		}
	case kindRequest:
		select {
		case in.calls <- struct{}{}:
			in.running.Go(func() { in.answer(e) })
		default:
			in.reply(failure(e.ID, e.Channel, fault.New(fault.NotRun, "%d calls run already for %s", maxInboundCalls, in.w.peer)))
		}
	}
}

func (in *inbound) answer(e *envelope) {
	defer func() { <-in.calls }()
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
