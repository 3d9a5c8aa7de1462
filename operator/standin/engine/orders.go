package engine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

// Order states the wanted end of one engine: what it should hold and its role.
type Order struct {
	// Fence is the fencing number of the issuer.
	Fence uint64 `json:"fence"`
	// Models lists everything that should be held, as "model@version" or
	// "model@version:adapter"; the version may be missing. Requests ask for both
	// without the version.
	Models []string `json:"models"`
	Role   string   `json:"role,omitempty"`
}

// OrderState is what POST and GET /v1/orders answer.
type OrderState struct {
	// Fence is the highest fencing number seen.
	Fence   uint64   `json:"fence"`
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	Role    string   `json:"role,omitempty"`
	// Applied counts the orders that took effect; LastFence is the number of the
	// last one.
	Applied   int    `json:"applied"`
	LastFence uint64 `json:"last_fence"`
}

type orderBook struct {
	open    bool // no models were configured: any is served
	fence   uint64
	role    string
	applied int
	last    uint64               // fencing number of the last order that took effect
	models  map[string]time.Time // when each is loaded
}

func newOrderBook(models []string) orderBook {
	b := orderBook{open: len(models) == 0, models: map[string]time.Time{}}
	for _, m := range models {
		b.models[m] = time.Time{}
	}
	return b
}

// served returns the names under which requests can ask for what is loaded.
func (b *orderBook) served(now time.Time) []string {
	var out []string
	for _, m := range b.loaded(now) {
		out = append(out, order.Served(m))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (b *orderBook) loaded(now time.Time) []string {
	out := []string{}
	for m, at := range b.models {
		if !at.After(now) {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

func (b *orderBook) serves(model string, now time.Time) bool {
	if b.open {
		return true
	}
	for m, at := range b.models {
		if !at.After(now) && order.Served(m) == model {
			return true
		}
	}
	return false
}

func (b *orderBook) state(now time.Time) OrderState {
	s := OrderState{Fence: b.fence, Role: b.role, Applied: b.applied, LastFence: b.last, Models: b.loaded(now), Loading: []string{}}
	for m, at := range b.models {
		if at.After(now) {
			s.Loading = append(s.Loading, m)
		}
	}
	slices.Sort(s.Loading)
	return s
}

// apply takes an order over and returns how many loads it began; weights are
// loaded one after the other.
func (b *orderBook) apply(o Order, now time.Time, loadTime time.Duration) (loads uint64) {
	b.open = false
	b.fence = max(b.fence, o.Fence)
	b.role = o.Role
	b.last = o.Fence
	b.applied++
	for m := range b.models {
		if !slices.Contains(o.Models, m) {
			delete(b.models, m)
		}
	}
	free := now
	for _, at := range b.models {
		if at.After(free) {
			free = at
		}
	}
	for _, m := range o.Models {
		if _, held := b.models[m]; !held {
			free = free.Add(loadTime)
			b.models[m] = free
			loads++
		}
	}
	return loads
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		host.Refuse(ctx, fasthttp.StatusBadRequest, fault.Invalid, "body is no order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.config.ChecksFence && o.Fence < e.orders.fence {
		e.counters.OldOrders++
		e.replyState(ctx, fasthttp.StatusConflict, now)
		return
	}
	e.counters.Loads += e.orders.apply(o, now, time.Duration(float64(e.config.LoadTime)/e.config.Speed))
	e.replyState(ctx, fasthttp.StatusOK, now)
}

// replyState answers with the state; the caller holds the mutex.
func (e *Engine) replyState(ctx *fasthttp.RequestCtx, status int, now time.Time) {
	host.Reply(ctx, status, e.orders.state(now))
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
}

func (e *Engine) handleOrderState(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replyState(ctx, fasthttp.StatusOK, time.Now())
}
