// Package budget limits second attempts (retries and hedges). Without a limit, an
// overload amplifies itself, because each failed attempt causes another one. A budget
// allows second attempts in proportion to first ones, by class, and a small minimum
// rate so that classes with little traffic can retry at all.
package budget

import "time"

// Default values, as commonly used for retry budgets: a tenth of the traffic.
const (
	DefaultRatio     = 0.1
	DefaultPerSecond = 0.5
	DefaultBurst     = 10
)

// Config holds the limits of a budget.
type Config struct {
	// Ratio is the number of second attempts that each first attempt earns.
	Ratio float64
	// PerSecond is the number of second attempts that each class earns a second,
	// whatever its traffic.
	PerSecond float64
	// Burst is the maximum balance.
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

// New returns budgets with a full balance; zero fields of cfg take the defaults.
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

// RecordFirst records a first attempt, which earns Ratio second attempts.
func (b *Budgets) RecordFirst(now time.Time, class string) {
	a := b.account(now, class)
	a.balance = min(a.balance+b.cfg.Ratio, b.cfg.Burst)
}

// Spend withdraws one second attempt and reports whether the balance sufficed; if not,
// the balance is unchanged.
func (b *Budgets) Spend(now time.Time, class string) bool {
	a := b.account(now, class)
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}

// Refund returns a second attempt that was not made.
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
