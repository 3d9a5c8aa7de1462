package link

import (
	"context"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// call is a request that waits for its answer.
type call struct {
	id      uint64
	channel string
	done    chan struct{}

	mu     sync.Mutex
	sentOn *wire // nil while no byte of the request left
	ended  bool
	answer *envelope
	err    error
}

// markSent records that bytes are about to leave on w; false means that the
// caller has given up and nothing may leave any more. From here on the request
// may have run.
func (c *call) markSent(w *wire) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.sentOn = w
	return true
}

func (c *call) finish(answer *envelope, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.answer, c.err = answer, err
	close(c.done)
}

// abandon ends the call without an answer. Only here is "not run" told from
// "outcome unknown": a request of which no byte left was not run.
func (c *call) abandon(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	code := fault.NotRun
	if c.sentOn != nil {
		code = fault.OutcomeUnknown
	}
	c.err = fault.Wrap(cause, code, "call on %s", c.channel)
	close(c.done)
}

func (c *call) wire() *wire {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentOn
}

// Call sends req to the instance named to and decodes the answer into resp,
// which may be nil. The handler's typed failure comes back with its code. When
// no answer came, the code is fault.NotRun if no byte of the request left this
// process, and else fault.OutcomeUnknown; a call is never sent twice.
func (s *Service) Call(ctx context.Context, to, channel string, req, resp any) error {
	body, err := Encode(req)
	if err != nil {
		return err
	}
	p, err := s.peerFor(to)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, "call on %s", channel)
	}
	c := &call{id: s.nextID.Add(1), channel: channel, done: make(chan struct{})}
	data, err := Encode(&envelope{Kind: kindRequest, Channel: channel, ID: c.id, Body: body})
	if err != nil {
		return err
	}
	if len(data) > s.cfg.MaxMessage {
		return fault.New(fault.TooLarge, "call on %s: %d bytes, at most %d are allowed", channel, len(data), s.cfg.MaxMessage)
	}
	p.addCall(c)
	defer p.dropCall(c)
	if _, err := p.out.push(&item{channel: channel, bulk: s.traits(channel).bulk, data: data, call: c}); err != nil {
		return fault.Wrap(err, fault.NotRun, "call on %s to %s", channel, to)
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		p.out.remove(c)
		c.abandon(ctx.Err())
	}
	<-c.done
	switch {
	case c.err != nil:
		return c.err
	case c.answer.Kind == kindFailure:
		return c.answer.fault()
	}
	return Decode(c.answer.Body, resp)
}
