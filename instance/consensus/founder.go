package consensus

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// FounderConfig holds what a Founder needs.
type FounderConfig struct {
	FS       disk.FS
	Dir      string
	Identity Identity
	// Founders lists the names that the operator gave to all founders.
	Founders []string
	// Cluster is a random ID; it counts if this founder makes the charter.
	Cluster raft.ClusterID
	// Send queues a message to the named instance or drops it; it must not block.
	Send func(to string, m founding.Message)
}

// Founder runs the founding exchange of one disk. It goes on answering the other
// founders after its own founding is done, until it is stopped. It is safe for
// concurrent use.
type Founder struct {
	cfg     FounderConfig
	founder *founding.Founder
	inbox   chan founding.Message
	founded chan Identity
	stop    chan struct{}
	done    chan struct{}
	err     error
}

// NewFounder returns a founder that is not started. It fails with fault.Invalid
// for an impossible list of founders, and with fault.Conflict when the disk has
// joined a cluster that it did not found.
func NewFounder(cfg FounderConfig) (*Founder, error) {
	if cfg.Identity.Cluster != "" && cfg.Identity.Founding.Phase == founding.Empty {
		return nil, fault.New(fault.Conflict, "the disk in %s has joined cluster %q", cfg.Dir, cfg.Identity.Cluster)
	}
	f, err := founding.New(cfg.Identity.Name, cfg.Identity.ID, cfg.Founders, cfg.Cluster, cfg.Identity.Founding)
	if err != nil {
		return nil, err
	}
	return &Founder{cfg: cfg, founder: f, inbox: make(chan founding.Message, inboxLen), founded: make(chan Identity, 1),
		stop: make(chan struct{}), done: make(chan struct{})}, nil
}

// Start begins the exchange.
func (f *Founder) Start(context.Context) error {
	go f.run()
	return nil
}

// Stop ends the exchange; it is taken up again at the next start.
func (f *Founder) Stop(ctx context.Context) error {
	close(f.stop)
	select {
	case <-f.done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "stop of the founder")
	}
}

// Deliver hands over a message from another founder, or drops it when too many wait.
func (f *Founder) Deliver(m founding.Message) {
	select {
	case f.inbox <- m:
	default:
	}
}

// Wait returns the disk's identity once the group is founded. It fails with
// fault.DeadlineExceeded, or with what made the disk unusable.
func (f *Founder) Wait(ctx context.Context) (Identity, error) {
	select {
	case id := <-f.founded:
		f.founded <- id
		return id, nil
	case <-f.done:
		if f.err != nil {
			return Identity{}, f.err
		}
		return Identity{}, fault.New(fault.Draining, "the founder was stopped")
	case <-ctx.Done():
		return Identity{}, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "not all founders have answered")
	}
}

func (f *Founder) run() {
	defer close(f.done)
	ticker := time.NewTicker(founding.ResendInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	announced := false
	for {
		if f.founder.State().Phase == founding.Founded && !announced {
			announced = true
			f.founded <- f.cfg.Identity
		}
		select {
		case <-f.stop:
			return
		case m := <-f.inbox:
			f.founder.Step(m)
		case <-ticker.C:
			f.founder.Tick(clock.Now())
		}
		if f.err = f.flush(); f.err != nil {
			return
		}
	}
}

func (f *Founder) flush() error {
	r := f.founder.Ready()
	if r.State != nil {
		if err := RecordFounding(f.cfg.FS, f.cfg.Dir, &f.cfg.Identity, *r.State); err != nil {
			return err
		}
	}
	for _, e := range r.Messages {
		f.cfg.Send(e.To, e.Msg)
	}
	return nil
}
