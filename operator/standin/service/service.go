// Package service is a small stand-in of a plain service with effects that must
// not be repeated: it books appointments. It does not check keys itself, so that
// each run of a call is an effect that tests can count.
package service

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

const (
	// DefaultService is the name of the plain service.
	DefaultService = "booking"
	// DefaultSlots is how many calls it announces to run side by side; a small
	// number for small machines, not measured.
	DefaultSlots = 32

	bookingsPath   = "/bookings"
	operationsPath = "/operations/"
)

// Config describes one runner of the service.
type Config struct {
	host.Config
	Name   string
	Domain string
	// Service is the name callers use; empty means DefaultService.
	Service string
	// Slots is announced; zero means DefaultSlots.
	Slots int
	// Book is shared by runners of one service; nil gives the runner its own.
	Book   *Book
	Faults Faults
}

// Faults can be set at the start, by SetFaults and by POST /standin/faults.
type Faults struct {
	// DropAnswer runs the call and cuts the connection in place of an answer.
	DropAnswer bool `json:"drop_answer"`
	// DelayMillis passes before the effect.
	DelayMillis int64 `json:"delay_ms"`
	// Refuse answers "not run".
	Refuse bool `json:"refuse"`
	// DieBefore cuts the connection before the effect.
	DieBefore bool `json:"die_before"`
	// Silent accepts calls, runs nothing and never answers.
	Silent bool `json:"silent"`
	// Mute ends the beats while calls are still served.
	Mute bool `json:"mute"`
	// Crash closes everything at once.
	Crash bool `json:"crash"`
}

// Booking is one effect, and the answer to the call that caused it.
type Booking struct {
	ID        string          `json:"id"`
	RequestID string          `json:"request_id"`
	Key       string          `json:"key"`
	Content   json.RawMessage `json:"content,omitempty"`
}

// Service is one runner. Its methods may be called from any goroutine.
type Service struct {
	config Config
	host   *host.Host
	book   *Book

	mu     sync.Mutex
	faults Faults
	done   chan struct{}
	once   sync.Once
}

// New returns a runner that is not yet started.
func New(c Config) *Service {
	if c.Service == "" {
		c.Service = DefaultService
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Book == nil {
		c.Book = NewBook()
	}
	s := &Service{config: c, book: c.Book, faults: c.Faults, done: make(chan struct{})}
	s.host = host.New(c.Config, s.handle, s.beat)
	return s
}

// Start listens and begins to announce.
func (s *Service) Start(ctx context.Context) error {
	if err := s.host.Start(ctx); err != nil {
		return err
	}
	s.host.SetMute(s.config.Faults.Mute)
	return nil
}

// Stop announces a leave and lets calls in flight end until ctx is done.
func (s *Service) Stop(ctx context.Context) error {
	if s.Faults().Silent {
		s.end()
	}
	err := s.host.Stop(ctx)
	s.end()
	return err
}

// Crash closes everything at once, without a leave; Stop still frees the rest.
func (s *Service) Crash() {
	s.end()
	s.host.Crash()
}

func (s *Service) end() { s.once.Do(func() { close(s.done) }) }

// Address returns the IP number and port on which the runner listens.
func (s *Service) Address() string { return s.host.Address() }

// Name returns the configured name.
func (s *Service) Name() string { return s.config.Name }

// Book returns the effects.
func (s *Service) Book() *Book { return s.book }

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults puts other faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.host.SetMute(f.Mute)
	if f.Crash {
		s.Crash()
	}
}

func (s *Service) beat() announce.Heartbeat {
	return announce.Heartbeat{
		Name:    s.config.Name,
		Domain:  s.config.Domain,
		Kind:    intent.KindService,
		Service: s.config.Service,
		Slots:   s.config.Slots,
	}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/standin/faults":
		s.handleFaults(ctx)
	case path == "/standin/counters":
		host.Reply(ctx, fasthttp.StatusOK, s.book.Counts())
	case s.Faults().Silent:
		<-s.done
		_ = ctx.Conn().Close()
	case ctx.IsPost() && path == bookingsPath:
		s.handleBooking(ctx)
	case ctx.IsGet() && strings.HasPrefix(path, bookingsPath+"/"):
		b, st := s.book.find(strings.TrimPrefix(path, bookingsPath+"/"))
		answer(ctx, b, st)
	case ctx.IsGet() && strings.HasPrefix(path, operationsPath):
		b, st := s.book.operation(strings.TrimPrefix(path, operationsPath))
		answer(ctx, b, st)
	default:
		host.Refuse(ctx, fasthttp.StatusNotFound, fault.NotFound, "no such path")
	}
}

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	f := s.Faults()
	if ctx.IsPost() {
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			host.Refuse(ctx, fasthttp.StatusBadRequest, fault.Invalid, "body is no set of faults")
			return
		}
		s.SetFaults(f)
	}
	host.Reply(ctx, fasthttp.StatusOK, f)
}

func (s *Service) handleBooking(ctx *fasthttp.RequestCtx) {
	f := s.Faults()
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if f.Refuse {
		host.Refuse(ctx, fasthttp.StatusServiceUnavailable, fault.NotRun, "the service refuses work")
		// Without the ID the refusal could be that of another request.
		ctx.Response.Header.Set("X-Request-Id", id)
		return
	}
	if f.DieBefore {
		_ = ctx.Conn().Close()
		return
	}
	b := Booking{
		RequestID: id,
		Key:       string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	if body := ctx.PostBody(); json.Valid(body) {
		b.Content = append(b.Content, body...)
	}
	s.book.begin(b)
	select {
	case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
	case <-s.done:
		s.book.abandon(b)
		_ = ctx.Conn().Close()
		return
	}
	b = s.book.run(b)
	if f.DropAnswer {
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set("X-Request-Id", b.RequestID)
	host.Reply(ctx, fasthttp.StatusCreated, b)
}

func answer(ctx *fasthttp.RequestCtx, b Booking, st state) {
	switch st {
	case stateDone:
		host.Reply(ctx, fasthttp.StatusOK, b)
	case stateRunning:
		host.Reply(ctx, fasthttp.StatusAccepted, b)
	default:
		host.Refuse(ctx, fasthttp.StatusNotFound, fault.NotFound, "no such booking")
	}
}
