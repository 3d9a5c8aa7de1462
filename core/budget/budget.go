// Package budget bounds second attempts (retries and hedges). Without a bound
// an overload feeds itself: each failed attempt becomes two. A budget allows a
// ratio of second attempts to first ones, by class, and a small minimum so that
// quiet classes can retry at all.
package budget

import "time"

// Defaults, as commonly used for retry budgets: a tenth of the traffic.
const (
	DefaultRatio     = 0.1
	DefaultPerSecond = 0.5
	DefaultBurst     = 10
)

// Config says how much a budget allows.
type Config struct {
	// Ratio is how many second attempts one first attempt pays for.
	Ratio float64
	// PerSecond is earned by time alone, for each class.
	PerSecond float64
	// Burst is the most that can be saved up.
	Burst float64
}

// Budgets holds one budget for each class. It is not safe for concurrent use.
type Budgets struct {
	cfg     Config
	classes map[string]*account
}

type account struct {
	balance   float64
	updatedAt time.Time
}

// New returns budgets that start full; zero fields of cfg take the defaults.
func New(cfg Config) *Budgets {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = DefaultPerSecond
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budgets{cfg: cfg, classes: map[string]*account{}}
}

// RecordFirst notes a first attempt, which earns a share of a second one.
func (b *Budgets) RecordFirst(now time.Time, class string) {
	a := b.account(now, class)
	a.balance = min(a.balance+b.cfg.Ratio, b.cfg.Burst)
}

// Spend takes one second attempt from the budget and reports whether it was
// there; if not, nothing is taken.
func (b *Budgets) Spend(now time.Time, class string) bool {
	a := b.account(now, class)
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}

// Refund gives back a second attempt that was not made after all.
func (b *Budgets) Refund(now time.Time, class string) {
	a := b.account(now, class)
	a.balance = min(a.balance+1, b.cfg.Burst)
}

func (b *Budgets) account(now time.Time, class string) *account {
	a, ok := b.classes[class]
	if !ok {
		a = &account{balance: b.cfg.Burst, updatedAt: now}
		b.classes[class] = a
	}
	if passed := now.Sub(a.updatedAt); passed > 0 {
		a.balance = min(a.balance+passed.Seconds()*b.cfg.PerSecond, b.cfg.Burst)
		a.updatedAt = now
	}
	return a
}
