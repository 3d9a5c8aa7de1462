package plain

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Pauses between tries to write a receipt.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 5 * time.Second
)

func (h *Handler) submit(ctx context.Context, c *claim.Command) (claim.Result, error) {
	ctx, done := context.WithTimeout(ctx, h.cfg.LedgerTimeout)
	defer done()
	return h.cfg.Ledger.Submit(ctx, c)
}

// write records what came of a call: once at once, then in the background. It
// doesn't heed the call's own time limit, which may have passed.
func (h *Handler) write(ctx context.Context, c *claim.Command) {
	if _, err := h.submit(context.WithoutCancel(ctx), c); err != nil {
		h.writeLater(c)
	}
}

// writeLater tries until the ledger answers, the write limit passes or the
// handler stops. When too many wait, it gives up at once: the claim then becomes
// an unknown outcome, which is safe.
func (h *Handler) writeLater(c *claim.Command) {
	if !h.work.beginWrite(h.cfg.MaxWrites) {
		return
	}
	go func() {
		defer h.work.endWrite()
		ctx, done := context.WithTimeout(h.work.base, h.cfg.WriteLimit)
		defer done()
		pause := firstPause
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if _, err := h.submit(ctx, c); err == nil {
				return
			}
			pause = min(2*pause, maxPause)
		}
	}()
}

// work counts what a drain waits for.
type work struct {
	base context.Context
	stop context.CancelFunc

	mu     *sync.Mutex
	calls  int
	writes int
	// idle is closed, and made anew, when nothing is left.
	idle chan struct{}
}

func newWork() work {
	base, stop := context.WithCancel(context.Background())
	return work{base: base, stop: stop, mu: &sync.Mutex{}, idle: make(chan struct{})}
}

func (w *work) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
}

func (w *work) beginWrite(most int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writes >= most {
		return false
	}
	w.writes++
	return true
}

func (w *work) end() { w.less(&w.calls) }

func (w *work) endWrite() { w.less(&w.writes) }

func (w *work) less(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n--
	if w.calls+w.writes == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	}
}

func (w *work) wait(ctx context.Context) error {
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
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "calls run or receipts wait to be written")
	}
}
