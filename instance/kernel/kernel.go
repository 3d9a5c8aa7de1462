// Package kernel manages the services of a process. Each service is registered under a dotted
// name with the names of the services on which it depends, and looks these up by name. The kernel
// creates and starts services in dependency order, and drains and stops them in reverse order.
package kernel

import (
	"context"
	"sort"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Service is a component of a process that is started and stopped by the kernel.
type Service interface {
	// Start starts the service and returns once it is usable. Background work runs in goroutines
	// that Stop ends.
	Start(ctx context.Context) error
	// Stop ends all work of the service and releases its resources.
	Stop(ctx context.Context) error
}

// Drainer is a service with work in flight that must finish before a stop.
type Drainer interface {
	// Drain rejects new work or hands it over, and returns when no work is in flight or ctx ends.
	Drain(ctx context.Context) error
}

// Module describes a service before it is created.
type Module struct {
	// Name is the dotted name under which other services look it up.
	Name string
	// Needs lists the names of the services that must be started before this one.
	Needs []string
	// New creates the service. It may look up the services in Needs but must not start any work.
	New func(k *Kernel) (Service, error)
}

// Kernel holds the services of one process. Its methods are not safe for concurrent use, except
// for lookups after Start.
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

// Register adds modules. Each name may be registered only once.
func (k *Kernel) Register(modules ...Module) error {
	for _, m := range modules {
		if _, dup := k.modules[m.Name]; dup {
			return fault.New(fault.Conflict, "service %q is registered twice", m.Name)
		}
		k.modules[m.Name] = m
	}
	return nil
}

// Lookup returns the service with the given name, which must have type T.
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

// Start creates all services and starts them in dependency order. If a start fails, the services
// that have been started are stopped in reverse order, and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.sortByDependency(); err != nil {
		return err
	}
	for _, name := range k.order {
		s, err := k.modules[name].New(k)
		if err != nil {
			return fault.Wrap(err, fault.CodeOf(err), "create service %q", name)
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

// Drain drains every Drainer, dependants first, and returns the first error after having tried
// all of them.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.forEachReverse(func(_ string, s Service) error {
		d, ok := s.(Drainer)
		if !ok {
			return nil
		}
		return d.Drain(ctx)
	}, "drain")
}

// Stop stops the started services in reverse order and returns the first error after having
// tried all of them.
func (k *Kernel) Stop(ctx context.Context) error {
	err := k.forEachReverse(func(_ string, s Service) error { return s.Stop(ctx) }, "stop")
	k.started = 0
	return err
}

func (k *Kernel) forEachReverse(f func(string, Service) error, what string) error {
	var first error
	for i := k.started - 1; i >= 0; i-- {
		name := k.order[i]
		if err := f(name, k.services[name]); err != nil && first == nil {
			first = fault.Wrap(err, fault.CodeOf(err), "%s service %q", what, name)
		}
	}
	return first
}

// sortByDependency sorts the modules topologically, each after those that it needs. Names are
// visited in alphabetical order, so that the start order is deterministic.
func (k *Kernel) sortByDependency() error {
	names := make([]string, 0, len(k.modules))
	for name := range k.modules {
		names = append(names, name)
	}
	sort.Strings(names)
	state := map[string]visitState{}
	for _, name := range names {
		if err := k.visit(name, state); err != nil {
			return err
		}
	}
	return nil
}

type visitState int

const (
	visiting visitState = iota + 1
	visited
)

func (k *Kernel) visit(name string, states map[string]visitState) error {
	switch states[name] {
	case visited:
		return nil
	case visiting:
		return fault.New(fault.Internal, "service %q is part of a dependency cycle", name)
	}
	m, ok := k.modules[name]
	if !ok {
		return fault.New(fault.NotFound, "service %q is needed but not registered", name)
	}
	states[name] = visiting
	for _, need := range m.Needs {
		if err := k.visit(need, states); err != nil {
			return err
		}
	}
	states[name] = visited
	k.order = append(k.order, name)
	return nil
}
