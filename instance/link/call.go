package link

import (
	"context"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// call is a request that waits for its response.
type call struct {
	id      uint64
	channel string
	done    chan struct{}

	mu       sync.Mutex
	sentOn   *connection // nil until the request is about to be written
	ended    bool
	response *envelope
	err      error
}

// markSent records that the request is about to be written to w, after which it may have run. It
// returns false if the caller has given up; the request must then not be written.
func (c *call) markSent(w *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.sentOn = w
	return true
}

func (c *call) complete(response *envelope, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.response, c.err = response, err
	close(c.done)
}

// abandon ends the call without a response. It alone distinguishes fault.NotRun from
// fault.OutcomeUnknown: a request of which no byte was written has not run.
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

func (c *call) connection() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentOn
}

// Call sends req to the instance named to and decodes the response into resp, which may be nil. An
// error of the handler is returned with its code. If no response arrives, the code is fault.NotRun
// if no byte of the request was sent, otherwise fault.OutcomeUnknown. A call is never sent twice.
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
		return fault.New(fault.TooLarge, "call on %s: %d bytes exceed the limit of %d", channel, len(data), s.cfg.MaxMessage)
	}
	p.addCall(c)
	defer p.removeCall(c)
	if _, err := p.sendQueue.push(&queuedMessage{channel: channel, bulk: s.channel(channel).bulk, data: data, call: c}); err != nil {
		return fault.Wrap(err, fault.NotRun, "call on %s to %s", channel, to)
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		p.sendQueue.remove(c)
		c.abandon(ctx.Err())
	}
	<-c.done
	switch {
	case c.err != nil:
		return c.err
	case c.response.Kind == kindError:
		return c.response.toError()
	}
	return Decode(c.response.Body, resp)
}
