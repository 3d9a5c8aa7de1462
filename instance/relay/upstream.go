package relay

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
)

// upstream is what this instance knows of one incarnation: its state, the work that
// it has from here, how that went, and the connections to it. The fields up to pool
// belong to the fleet's mutex, except where a method says otherwise.
type upstream struct {
	id, address, domain string
	state               serving.State
	silent              bool
	slots               int
	maxConns            int

	// active counts requests under way, reading the prompt tokens of those whose
	// first event has not come.
	active  int
	reading int

	mu sync.Mutex
	// failures counts failures in a row; until is when an upstream that failed may
	// be tried again.
	failures int
	until    time.Time
	// errors is the share of failures among the latest answers.
	errors float64
	// latency is the mean time of the latest plain answers, in seconds.
	latency float64

	pool pool
}

func newUpstream(info *serving.Upstream) *upstream {
	u := &upstream{id: info.ID, address: info.Address}
	u.pool.address = info.Address
	return u
}

const (
	// readingFull is how many prompt tokens to read count as a full upstream.
	readingFull = 100_000
	// weightOfLatest is the weight of the latest answer in a moving mean.
	weightOfLatest = 0.15
	// penaltyOfErrors makes an upstream that fails all its requests count as so many
	// times loaded.
	penaltyOfErrors = 8
)

// load needs the fleet's mutex.
func (u *upstream) load() float64 {
	return float64(u.active)/float64(u.slots) + float64(u.reading)/readingFull
}

func (u *upstream) penalty() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return 1 + penaltyOfErrors*u.errors
}

// suspect reports whether the upstream should be left alone for now.
func (u *upstream) suspect(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failures > 0 && now.Before(u.until) || u.silent && u.failures > 0
}

// begin books a request; it needs the fleet's mutex.
func (u *upstream) begin(r *request, _ time.Time) {
	u.active++
	u.reading += r.tokens
}

// firstEvent says that a request's prompt was read.
func (f *fleet) firstEvent(u *upstream, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.reading -= tokens
}

// done says that a request has ended; tokens are those of firstEvent if that was
// not called.
func (f *fleet) done(u *upstream, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.active--
	u.reading -= tokens
}

const (
	// minEjection and maxEjection bound for how long an upstream is left alone after
	// failures in a row; a connection that fails once may be the connection's fault.
	minEjection  = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	toleratedRow = 1
)

// failed notes an attempt that failed at the upstream, and reports for how long it
// is left alone.
func (u *upstream) failed(hard bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errors += weightOfLatest * (1 - u.errors)
	u.failures++
	if u.failures <= toleratedRow && !hard {
		return 0
	}
	pause := min(maxEjection, minEjection<<min(u.failures-1, 8))
	u.until = time.Now().Add(pause)
	return pause
}

// succeeded notes an answer.
func (u *upstream) succeeded(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errors -= weightOfLatest * u.errors
	u.failures = 0
	if u.latency == 0 {
		u.latency = took.Seconds()
	}
	u.latency += weightOfLatest * (took.Seconds() - u.latency)
}

func (u *upstream) closeIdle(now time.Time) { u.pool.closeIdle(now) }

func (u *upstream) retire() { u.pool.close() }
