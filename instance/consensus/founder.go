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

// FounderConfig configures a Founder.
type FounderConfig struct {
	FS       disk.FS
	Dir      string
	Identity Identity
	// Founders lists the names of all founders, as configured by the operator.
	Founders []string
	// Cluster is a random ID; it is used if this founder issues the charter.
	Cluster raft.ClusterID
	// Send queues a message to the named instance or drops it; it must not block.
	Send func(to string, m founding.Message)
	// OnSlowDisk, if set, is called with the duration of each slow write.
	OnSlowDisk func(time.Duration)
}

// Founder runs the founding protocol for one disk. It keeps answering the other
// founders after its own founding is complete, until it is stopped. It is safe for
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

// NewFounder returns a founder that has not been started. It fails with
// fault.Invalid for an invalid list of founders, and with fault.Conflict when the
// disk has joined a cluster that it did not found.
func NewFounder(cfg FounderConfig) (*Founder, error) {
	if cfg.Identity.Cluster != "" && cfg.Identity.Founding.Phase == founding.Empty {
		return nil, fault.New(fault.Conflict, "the data folder %s has already joined cluster %q", cfg.Dir, cfg.Identity.Cluster)
	}
	f, err := founding.New(cfg.Identity.Name, cfg.Identity.ID, cfg.Founders, cfg.Cluster, cfg.Identity.Founding)
	if err != nil {
		return nil, err
	}
	return &Founder{cfg: cfg, founder: f, inbox: make(chan founding.Message, inboxLen), founded: make(chan Identity, 1),
		stop: make(chan struct{}), done: make(chan struct{})}, nil
}

// Start starts the protocol.
func (f *Founder) Start(context.Context) error {
	go f.run()
	return nil
}

// Stop stops the protocol. It resumes from the persisted state when a founder is
// started again.
func (f *Founder) Stop(ctx context.Context) error {
	close(f.stop)
	select {
	case <-f.done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "stop the founder")
	}
}

// Deliver queues a message from another founder, or drops it when the queue is full.
func (f *Founder) Deliver(m founding.Message) {
	select {
	case f.inbox <- m:
	default:
	}
}

// Wait returns the disk's identity once the group is founded. It fails with
// fault.DeadlineExceeded when ctx ends, with fault.Draining after Stop, or with the
// disk error that ended the protocol.
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
		return Identity{}, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "not all founders have responded")
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
		err := disk.ReportSlow(f.cfg.OnSlowDisk, func() error { return RecordFounding(f.cfg.FS, f.cfg.Dir, &f.cfg.Identity, *r.State) })
		if err != nil {
			return err
		}
	}
	for _, e := range r.Messages {
		f.cfg.Send(e.To, e.Msg)
	}
	return nil
}
