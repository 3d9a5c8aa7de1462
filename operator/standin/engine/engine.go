package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

// Engine is one stand-in. Its methods may be called from any goroutine.
type Engine struct {
	config Config
	host   *host.Host

	mu       sync.Mutex
	faults   Faults
	rng      *rand.Rand
	waiting  []*stream // by (priority, arrival)
	running  []*stream
	streams  map[string]*stream // the last one of each request ID
	order    uint64
	cache    *prefixCache
	orders   orderBook
	counters Counters
	reports  []report
	stopping bool

	wake  chan struct{} // one waiting signal for the step loop
	done  chan struct{}
	once  sync.Once
	group sync.WaitGroup
}

// Counters are totals since the start.
type Counters struct {
	Requests  uint64 `json:"requests"`
	Refused   uint64 `json:"refused"`
	Completed uint64 `json:"completed"`
	Cancelled uint64 `json:"cancelled"`
	Resumed   uint64 `json:"resumed"`
	// Generated counts output tokens, whoever received them.
	Generated uint64 `json:"generated"`
	// Prefilled counts prompt tokens computed, Cached those found in the cache.
	Prefilled uint64 `json:"prefilled"`
	Cached    uint64 `json:"cached"`
	// BusyMillis is the time with a batch that was not empty, unscaled.
	BusyMillis uint64 `json:"busy_ms"`
	// Loads counts the loads that orders began, OldOrders the orders that were
	// refused for an old fencing number.
	Loads     uint64 `json:"loads"`
	OldOrders uint64 `json:"old_orders"`
}

// New returns an engine that is not yet started.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:  c,
		faults:  c.Faults,
		rng:     rand.New(rand.NewPCG(c.Seed, 1)),
		streams: map[string]*stream{},
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	e.cache = newPrefixCache(c.CacheTokens)
	e.orders = newOrderBook(c.Models)
	e.host = host.New(c.Config, e.handle, e.beat)
	return e
}

// Start listens and begins to work. Canceling ctx later has no effect.
func (e *Engine) Start(ctx context.Context) error {
	if err := e.host.Start(ctx); err != nil {
		return err
	}
	e.host.SetMute(e.config.Faults.Mute)
	e.group.Add(2)
	go func() {
		defer e.group.Done()
		e.stepLoop()
	}()
	go func() {
		defer e.group.Done()
		e.tidyLoop()
	}()
	return nil
}

// Stop announces a leave, lets work in flight end until ctx is done, and ends.
// It fails with DeadlineExceeded when requests were cut off.
func (e *Engine) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	if e.faults.Silent {
		e.end()
	}
	e.mu.Unlock()
	err := e.host.Stop(ctx)
	e.end()
	e.group.Wait()
	return err
}

// Crash closes everything at once, without a leave; Stop still frees the rest.
func (e *Engine) Crash() {
	e.end()
	e.host.Crash()
}

func (e *Engine) end() { e.once.Do(func() { close(e.done) }) }

// Address returns the IP number and port on which the engine listens.
func (e *Engine) Address() string { return e.host.Address() }

// Name returns the configured name.
func (e *Engine) Name() string { return e.config.Name }

// Slots returns the limit of the batch.
func (e *Engine) Slots() int { return e.config.Slots }

// Counters returns the totals so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults puts other faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.host.SetMute(f.Mute)
	e.signal()
	if f.Crash {
		e.Crash()
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Queue returns the true numbers of running and waiting requests; none once the
// engine has crashed or ended.
func (e *Engine) Queue() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return 0, 0
	default:
	}
	return len(e.running), len(e.waiting)
}

func (e *Engine) beat() announce.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	load := e.loadAt(now)
	return announce.Heartbeat{
		Name:   e.config.Name,
		Domain: e.config.Domain,
		Kind:   intent.KindEngine,
		Models: e.orders.served(now),
		Slots:  e.config.Slots,
		Load:   &load,
		Cache:  e.cache.publish(now.Add(-e.config.EventDelay), e.lose),
	}
}

func (e *Engine) lose() bool { return e.rng.Float64() < e.config.EventLoss }
