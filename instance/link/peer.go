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

// peer is another instance to which this one dials.
type peer struct {
	s    *Service
	name string
	out  *queue
	// cancel ends run; see Service.Forget.
	cancel context.CancelFunc

	mu    sync.Mutex
	calls map[uint64]*call
}

func (p *peer) addCall(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c.id] = c
}

func (p *peer) dropCall(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c.id)
}

// run keeps one connection to the peer for as long as there is something to
// send or to wait for.
func (p *peer) run(ctx context.Context) {
	backoff := p.s.cfg.MinBackoff
	for {
		if !p.waitForWork(ctx) {
			return
		}
		w, err := p.dial(ctx)
		if err != nil {
			p.s.log.Debug().Err(err).Str("peer", p.name).Msg("link dial failed")
			p.failQueued(err)
			if !clock.Sleep(ctx, jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, p.s.cfg.MaxBackoff)
			continue
		}
		started := time.Now()
		p.serve(ctx, w)
		if time.Since(started) > p.s.cfg.Timeout {
			backoff = p.s.cfg.MinBackoff
			continue
		}
		// A link that ends at once, such as one that the peer refuses after
		// the handshake, must not be dialled in a tight loop.
		if !clock.Sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, p.s.cfg.MaxBackoff)
	}
}

// waitForWork blocks while nothing is queued; false means that ctx ended.
func (p *peer) waitForWork(ctx context.Context) bool {
	if p.out.waiting() {
		return true
	}
	select {
	case <-p.out.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *peer) serve(ctx context.Context, w *wire) {
	ended := context.AfterFunc(ctx, w.close)
	defer ended()
	err := w.run()
	p.s.log.Debug().Err(err).Str("peer", p.name).Msg("link ended")
	for _, c := range p.callsOn(w) {
		c.abandon(err)
	}
}

// callsOn returns the calls sent on w; their answers cannot come any more.
func (p *peer) callsOn(w *wire) []*call {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []*call
	for _, c := range p.calls {
		if c.wire() == w {
			calls = append(calls, c)
		}
	}
	return calls
}

// awaits reports whether a call still waits for an answer.
func (p *peer) awaits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// failQueued ends calls that cannot be sent now, so that callers need not wait
// for their own time limit to learn that nothing was run, and drops lossy
// messages, which would be out of date by the next dial.
func (p *peer) failQueued(err error) {
	for _, c := range p.out.takeCalls() {
		c.abandon(err)
	}
}

// receive matches an answer with its call by ID. An answer that comes late or
// belongs to none of this peer's calls is dropped.
func (p *peer) receive(_ *wire, e *envelope) {
	if e.Kind != kindAnswer && e.Kind != kindFailure {
		return
	}
	p.mu.Lock()
	c := p.calls[e.ID]
	p.mu.Unlock()
	if c == nil || c.channel != e.Channel {
		p.s.stats.unmatched.Add(1)
		return
	}
	c.finish(e, nil)
}

func (p *peer) dial(ctx context.Context) (*wire, error) {
	addr, ok := p.s.cfg.Book.Address(p.name)
	if !ok {
		return nil, fault.New(fault.NotFound, "instance %s: no address is known", p.name)
	}
	scheme := "ws://"
	if p.s.cfg.ClientTLS != nil {
		scheme = "wss://"
	}
	dialer := ws.Dialer{
		Timeout:   p.s.cfg.DialTimeout,
		TLSConfig: p.s.cfg.ClientTLS,
		Header: ws.HandshakeHeaderHTTP(http.Header{
			authHeader:     []string{bearer + p.s.cfg.Credential},
			instanceHeader: []string{p.s.cfg.Self},
		}),
	}
	conn, early, _, err := dialer.Dial(ctx, scheme+addr+Path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "dial %s at %s", p.name, addr)
	}
	w := p.s.newWire(tcpconn.Wrap(conn), p.name, p.out, p.receive)
	w.dialer = true
	w.idleAfter = p.s.cfg.IdleAfter
	w.awaits = p.awaits
	w.in = bufio.NewReaderSize(heard{w}, bufferSize)
	if early != nil {
		// Frames that came with the handshake's answer are already read.
		w.in = bufio.NewReaderSize(earlyThen(early, heard{w}), bufferSize)
	}
	return w, nil
}

// jitter spreads d over [d/2, d), so that instances that lost the same peer
// don't dial it again all at once.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
