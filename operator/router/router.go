// Package router runs the router under test inside the load tool: the daemons of
// all failure domains of an experiment in one process, with settings as in
// production, founded with the experiment's intent.
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
	// perDomain is how many instances a failure domain has: both first users run
	// nine in three domains.
	perDomain = 3
	// startTime bounds the founding and the wait for announcements.
	startTime = 60 * time.Second
	// stopTime bounds the end of all daemons; nothing is in flight by then.
	stopTime = 10 * time.Second
	poll     = 50 * time.Millisecond
)

// System is a load.System of daemons in this process. Callers go round-robin
// over all instances, as behind the platform's balancer.
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

// Start implements load.System: it founds the control group and returns when
// all instances act on the experiment's intent.
func (s *System) Start(ctx context.Context) (load.Announce, error) {
	dir, err := os.MkdirTemp("", "comfreyladder-bench-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make a folder for the instances")
	}
	s.dir = dir
	if err := s.lay(); err != nil {
		return nil, s.failed(ctx, err)
	}
	for _, in := range s.instances {
		if err := in.start(ctx); err != nil {
			return nil, s.failed(ctx, err)
		}
	}
	if err := s.wait(ctx, "the intent to be in force", (*instance).inForce); err != nil {
		return nil, s.failed(ctx, err)
	}
	announce := load.Announce{}
	for _, in := range s.instances {
		s.Addresses = append(s.Addresses, in.daemon.CallerAddress())
		announce[in.domain] = append(announce[in.domain], in.daemon.CallerAddress())
	}
	return announce, nil
}

// Attach implements load.System: it returns when each instance would use all
// upstreams of its failure domain.
func (s *System) Attach(ctx context.Context, engines []*engine.Engine) error {
	if len(engines) == 0 {
		return s.Remote.Attach(ctx, engines)
	}
	return s.wait(ctx, "the upstreams to be known", (*instance).seesAll)
}

// Explain tells what became of a request, one line for each event, or nil when
// no instance remembers it.
func (s *System) Explain(rec *load.Record) []string {
	if rec.Outcome.ID == "" {
		return nil
	}
	for _, in := range s.instances {
		e, err := in.operator().Explain(rec.Outcome.ID)
		if err != nil {
			continue
		}
		return lines(e)
	}
	return nil
}

// Stop implements load.System.
func (s *System) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTime)
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

func (s *System) failed(ctx context.Context, err error) error {
	_ = s.Stop(context.WithoutCancel(ctx))
	return err
}

// wait polls until done holds for all instances.
func (s *System) wait(ctx context.Context, what string, done func(*instance) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, in := range s.instances {
		for !done(in) {
			select {
			case <-ctx.Done():
				return fault.New(fault.DeadlineExceeded, "instance %s: waited for %s", in.name, what)
			case <-time.After(poll):
			}
		}
	}
	return nil
}

// instance is one daemon with its place.
type instance struct {
	name, domain string
	settings     string
	key          string
	// upstreams is how many of its domain there will be.
	upstreams int
	daemon    *daemon.Daemon
}

func (in *instance) operator() *client.Client {
	return &client.Client{Address: in.daemon.OperatorAddress(), Key: in.key}
}

func (in *instance) inForce() bool {
	st, err := in.operator().Status()
	return err == nil && st.Revision > 0
}

func (in *instance) seesAll() bool {
	st, err := in.operator().Status()
	if err != nil {
		return false
	}
	live := 0
	for _, u := range st.Upstreams {
		if u.State == "live" {
			live++
		}
	}
	return live >= in.upstreams
}
