package link

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gobwas/ws"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// peer is another instance that this one dials.
type peer struct {
	service   *Service
	name      string
	sendQueue *queue
	// cancel ends run; Service.Forget calls it.
	cancel context.CancelFunc

	mu    sync.Mutex
	calls map[uint64]*call
}

func (p *peer) addCall(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c.id] = c
}

func (p *peer) removeCall(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c.id)
}

// run keeps one connection to the peer open while messages are queued or calls are pending.
func (p *peer) run(ctx context.Context) {
	backoff := p.service.cfg.MinBackoff
	for {
		if !p.waitForWork(ctx) {
			return
		}
		w, err := p.dial(ctx)
		if err != nil {
			p.service.log.Debug().Err(err).Str("peer", p.name).Msg("dialling a link failed")
			p.failQueued(err)
			if !clock.Sleep(ctx, jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, p.service.cfg.MaxBackoff)
			continue
		}
		started := time.Now()
		p.serve(ctx, w)
		if time.Since(started) > p.service.cfg.Timeout {
			backoff = p.service.cfg.MinBackoff
			continue
		}
		// Back off after a short-lived link too: a peer that closes it right
		// after the handshake must not be dialled in a tight loop.
		if !clock.Sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, p.service.cfg.MaxBackoff)
	}
}

// waitForWork blocks until a message is queued; it returns false if ctx ended first.
func (p *peer) waitForWork(ctx context.Context) bool {
	if p.sendQueue.hasMessages() {
		return true
	}
	select {
	case <-p.sendQueue.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *peer) serve(ctx context.Context, w *connection) {
	ended := context.AfterFunc(ctx, w.close)
	defer ended()
	err := w.run()
	p.service.log.Debug().Err(err).Str("peer", p.name).Msg("link ended")
	for _, c := range p.callsOn(w) {
		c.abandon(err)
	}
}

// callsOn returns the calls sent on w, which can get no response once w is closed.
func (p *peer) callsOn(w *connection) []*call {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []*call
	for _, c := range p.calls {
		if c.connection() == w {
			calls = append(calls, c)
		}
	}
	return calls
}

// hasPendingCalls reports whether a call waits for its response.
func (p *peer) hasPendingCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// failQueued fails the queued calls, so that callers learn at once, and not by their own timeouts,
// that nothing was run. It drops lossy messages, which would be out of date by the next dial.
func (p *peer) failQueued(err error) {
	for _, c := range p.sendQueue.takeCalls() {
		c.abandon(err)
	}
}

// receive matches a response with its call by ID. A response that is late or matches no pending
// call of this peer is dropped.
func (p *peer) receive(_ *connection, e *envelope) {
	if e.Kind != kindResponse && e.Kind != kindError {
		return
	}
	p.mu.Lock()
	c := p.calls[e.ID]
	p.mu.Unlock()
	if c == nil || c.channel != e.Channel {
		p.service.stats.unmatchedResponses.Add(1)
		return
	}
	c.complete(e, nil)
}

func (p *peer) dial(ctx context.Context) (*connection, error) {
	addr, ok := p.service.cfg.Book.Address(p.name)
	if !ok {
		return nil, fault.New(fault.NotFound, "the address of instance %s is unknown", p.name)
	}
	scheme := "ws://"
	if p.service.cfg.ClientTLS != nil {
		scheme = "wss://"
	}
	dialer := ws.Dialer{
		Timeout:   p.service.cfg.DialTimeout,
		TLSConfig: p.service.cfg.ClientTLS,
		Header: ws.HandshakeHeaderHTTP(http.Header{
			authHeader:     []string{bearer + p.service.cfg.Credential},
			instanceHeader: []string{p.service.cfg.Self},
		}),
	}
	conn, buffered, err := dialWebSocket(ctx, dialer, scheme+addr+Path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "dial %s at %s", p.name, addr)
	}
	w := p.service.newConnection(tcpconn.Wrap(conn), p.name, p.sendQueue, p.receive)
	w.dialer = true
	w.idleAfter = p.service.cfg.IdleAfter
	w.hasPendingCalls = p.hasPendingCalls
	w.in = bufio.NewReaderSize(deadlineReader{w}, bufferSize)
	if buffered != nil {
		// The handshake's reader already holds frames that followed the response.
		w.in = bufio.NewReaderSize(withBuffered(buffered, deadlineReader{w}), bufferSize)
	}
	return w, nil
}

// jitter returns a random duration in [d/2, d), so that instances that lost the same peer don't
// all redial it at once.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
