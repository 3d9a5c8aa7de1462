package plain

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Bounds of the exponential backoff between attempts to write a receipt.
const (
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 5 * time.Second
)

func (h *Handler) submit(ctx context.Context, c *claim.Command) (claim.Result, error) {
	ctx, done := context.WithTimeout(ctx, h.cfg.LedgerTimeout)
	defer done()
	return h.cfg.Ledger.Submit(ctx, c)
}

// write records the outcome of a call: the first attempt is synchronous, retries run in the
// background. It ignores the deadline of the call, which may have passed.
func (h *Handler) write(ctx context.Context, c *claim.Command) {
	if _, err := h.submit(context.WithoutCancel(ctx), c); err != nil {
		h.writeLater(c)
	}
}

// writeLater retries in the background until the ledger answers, the write limit passes or
// the handler stops. If too many writes are pending, it drops the command: the claim then
// becomes an unknown outcome, which is safe.
func (h *Handler) writeLater(c *claim.Command) {
	if !h.work.beginWrite(h.cfg.MaxWrites) {
		return
	}
	go func() {
		defer h.work.endWrite()
		ctx, done := context.WithTimeout(h.work.base, h.cfg.WriteLimit)
		defer done()
		interval := minRetryInterval
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
			if _, err := h.submit(ctx, c); err == nil {
				return
			}
			interval = min(2*interval, maxRetryInterval)
		}
	}()
}

// pendingWork counts the running calls and pending writes that Drain waits for.
type pendingWork struct {
	base context.Context
	stop context.CancelFunc

	mu     *sync.Mutex
	calls  int
	writes int
	// idle is closed and replaced when both counts reach zero.
	idle chan struct{}
}

func newWork() pendingWork {
	base, stop := context.WithCancel(context.Background())
	return pendingWork{base: base, stop: stop, mu: &sync.Mutex{}, idle: make(chan struct{})}
}

func (w *pendingWork) beginCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
}

func (w *pendingWork) beginWrite(limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writes >= limit {
		return false
	}
	w.writes++
	return true
}

func (w *pendingWork) endCall() { w.decrement(&w.calls) }

func (w *pendingWork) endWrite() { w.decrement(&w.writes) }

func (w *pendingWork) decrement(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n--
	if w.calls+w.writes == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	}
}

func (w *pendingWork) wait(ctx context.Context) error {
	w.mu.Lock()
	busy, idle := w.calls+w.writes > 0, w.idle
	w.mu.Unlock()
	if !busy {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "calls are running or receipts are pending")
	}
}
