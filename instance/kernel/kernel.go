// Package kernel is the micro-kernel of a process: services register under a
// dotted name, say which names they need, and find each other by name. The
// kernel provisions and starts them in order of need and drains and stops them
// in reverse.
package kernel

import (
	"context"
	"sort"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Service is one running part of a process.
type Service interface {
	// Start begins work and returns once the service is usable. Work that goes
	// on belongs to goroutines that Stop ends.
	Start(ctx context.Context) error
	// Stop ends all work of the service and releases what it holds.
	Stop(ctx context.Context) error
}

// Drainer is a service with work in flight that must finish before a stop.
type Drainer interface {
	// Drain refuses or hands off new work and returns when nothing is in
	// flight, or when ctx ends.
	Drain(ctx context.Context) error
}

// Module describes a service before it exists.
type Module struct {
	// Name is the dotted name under which others find the service.
	Name string
	// Needs lists services that must be started before this one.
	Needs []string
	// New provisions the service; it may look up its needs in the kernel but
	// must not start any work.
	New func(k *Kernel) (Service, error)
}

// Kernel holds the services of one process. It is not safe for concurrent
// changes; lookups after Start are safe.
type Kernel struct {
	modules  map[string]Module
	services map[string]Service
	order    []string
	started  int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{modules: map[string]Module{}, services: map[string]Service{}}
}

// Register adds modules. A name may be registered once.
func (k *Kernel) Register(modules ...Module) error {
	for _, m := range modules {
		if _, dup := k.modules[m.Name]; dup {
			return fault.New(fault.Conflict, "service %q is registered twice", m.Name)
		}
		k.modules[m.Name] = m
	}
	return nil
}

// Lookup returns the service with the given name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fault.New(fault.NotFound, "service %q does not exist here; add it to Needs of the service that looks it up", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "service %q has type %T", name, s)
	}
	return t, nil
}

// Start provisions all services and starts them in order of need. When one
// fails, those already started are stopped in reverse and the failure returned.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.sortByNeed(); err != nil {
		return err
	}
	for _, name := range k.order {
		s, err := k.modules[name].New(k)
		if err != nil {
			return fault.Wrap(err, fault.CodeOf(err), "provision service %q", name)
		}
		k.services[name] = s
	}
	for _, name := range k.order {
		if err := k.services[name].Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return fault.Wrap(err, fault.CodeOf(err), "start service %q", name)
		}
		k.started++
	}
	return nil
}

// Drain lets every Drainer finish its work, dependants first.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.reverse(func(_ string, s Service) error {
		d, ok := s.(Drainer)
		if !ok {
			return nil
		}
		return d.Drain(ctx)
	}, "drain")
}

// Stop stops the started services in reverse order and returns the first
// failure after having tried all of them.
func (k *Kernel) Stop(ctx context.Context) error {
	err := k.reverse(func(_ string, s Service) error { return s.Stop(ctx) }, "stop")
	k.started = 0
	return err
}

func (k *Kernel) reverse(f func(string, Service) error, what string) error {
	var first error
	for i := k.started - 1; i >= 0; i-- {
		name := k.order[i]
		if err := f(name, k.services[name]); err != nil && first == nil {
			first = fault.Wrap(err, fault.CodeOf(err), "%s service %q", what, name)
		}
	}
	return first
}

// sortByNeed orders the modules so that each comes after all that it needs;
// among the free choices, names go alphabetically, so that starts are alike.
func (k *Kernel) sortByNeed() error {
	names := make([]string, 0, len(k.modules))
	for name := range k.modules {
		names = append(names, name)
	}
	sort.Strings(names)
	state := map[string]visit{}
	for _, name := range names {
		if err := k.visit(name, state); err != nil {
			return err
		}
	}
	return nil
}

type visit int

const (
	visitOpen visit = iota + 1
	visitDone
)

func (k *Kernel) visit(name string, state map[string]visit) error {
	switch state[name] {
	case visitDone:
		return nil
	case visitOpen:
		return fault.New(fault.Internal, "service %q needs itself by a cycle", name)
	}
	m, ok := k.modules[name]
	if !ok {
		return fault.New(fault.NotFound, "service %q is needed but not registered", name)
	}
	state[name] = visitOpen
	for _, need := range m.Needs {
		if err := k.visit(need, state); err != nil {
			return err
		}
	}
	state[name] = visitDone
	k.order = append(k.order, name)
	return nil
}
