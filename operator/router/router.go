// Package router runs the router under test inside the load tool. It starts the daemons of all
// failure domains of an experiment in one process, with settings as in production, and founds the
// control group with the experiment's intent.
package router

import (
	"context"
	"crypto/rand"
	"os"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/daemon"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/caller"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

const (
	// instancesPerDomain matches the first two users, which both run nine instances in three
	// failure domains.
	instancesPerDomain = 3
	// startTimeout limits the wait for the founding, and that for the announcements of upstreams.
	startTimeout = 60 * time.Second
	// stopTimeout limits the shutdown of all daemons, at which no request is in flight any more.
	stopTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// System is a load.System of daemons in this process. Callers use all instances round-robin, as
// behind the platform's load balancer.
type System struct {
	*caller.Remote
	experiment *load.Experiment
	key        string
	dir        string
	instances  []*instance
}

// New is a load.Maker.
func New(x *load.Experiment, _ uint64) load.System {
	return &System{Remote: caller.NewRemote(nil), experiment: x, key: rand.Text()}
}

// Start implements load.System. It founds the control group and returns once the experiment's
// intent is in force at all instances.
func (s *System) Start(ctx context.Context) (load.Announce, error) {
	dir, err := os.MkdirTemp("", "comfreyladder-bench-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make a folder for the instances")
	}
	s.dir = dir
	if err := s.writeFiles(); err != nil {
		return nil, s.abort(ctx, err)
	}
	for _, in := range s.instances {
		if err := in.start(ctx); err != nil {
			return nil, s.abort(ctx, err)
		}
	}
	if err := s.wait(ctx, "the intent to be in force", (*instance).inForce); err != nil {
		return nil, s.abort(ctx, err)
	}
	announce := load.Announce{}
	for _, in := range s.instances {
		s.Addresses = append(s.Addresses, in.daemon.CallerAddress())
		announce[in.domain] = append(announce[in.domain], in.daemon.CallerAddress())
	}
	return announce, nil
}

// Attach implements load.System. It returns once each instance reports all upstreams of its
// failure domain as live.
func (s *System) Attach(ctx context.Context, engines []*engine.Engine) error {
	if len(engines) == 0 {
		return s.Remote.Attach(ctx, engines)
	}
	return s.wait(ctx, "the upstreams to be known", (*instance).hasAllUpstreams)
}

// Explain returns one line for each event of a request and a last one for its outcome, or nil if
// no instance has a record of it.
func (s *System) Explain(rec *load.Record) []string {
	if rec.Outcome.ID == "" {
		return nil
	}
	for _, in := range s.instances {
		e, err := in.operatorClient().Explain(rec.Outcome.ID)
		if err != nil {
			continue
		}
		return eventLines(e)
	}
	return nil
}

// Stop implements load.System.
func (s *System) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var first error
	for _, in := range s.instances {
		if in.daemon == nil {
			continue
		}
		if err := in.daemon.Kill(ctx); err != nil && first == nil {
			first = err
		}
	}
	if err := os.RemoveAll(s.dir); err != nil && first == nil {
		first = fault.Wrap(err, fault.Unavailable, "remove the folder of the instances")
	}
	return first
}

func (s *System) abort(ctx context.Context, err error) error {
	_ = s.Stop(context.WithoutCancel(ctx))
	return err
}

// wait polls until done returns true for every instance; it fails once startTimeout has passed.
func (s *System) wait(ctx context.Context, what string, done func(*instance) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, in := range s.instances {
		for !done(in) {
			select {
			case <-ctx.Done():
				return fault.New(fault.DeadlineExceeded, "instance %s: waited for %s", in.name, what)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// instance is a daemon with its name, failure domain and settings file.
type instance struct {
	name, domain string
	settingsFile string
	key          string
	// expectedUpstreams is the number of upstreams that will announce themselves in its domain.
	expectedUpstreams int
	daemon            *daemon.Daemon
}

func (in *instance) operatorClient() *client.Client {
	return &client.Client{Address: in.daemon.OperatorAddress(), Key: in.key}
}

func (in *instance) inForce() bool {
	st, err := in.operatorClient().Status()
	return err == nil && st.Revision > 0
}

func (in *instance) hasAllUpstreams() bool {
	st, err := in.operatorClient().Status()
	if err != nil {
		return false
	}
	live := 0
	for _, u := range st.Upstreams {
		if u.State == "live" {
			live++
		}
	}
	return live >= in.expectedUpstreams
}
