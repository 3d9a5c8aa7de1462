// Package origin shares among instances where streams began (core/origin). An instance tells two members of
// the control group, so that its callers can go on elsewhere if it ends; an instance that is asked to go on
// with a stream asks them. Members keep what they are told on their disks, and instances tell it again to a
// member that may have forgotten some of it.
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

const (
	// ChannelBegun carries a Begun to a member.
	ChannelBegun = "origin.begun"
	// ChannelCheck asks a member with a CheckRequest what it has received, for a CheckResponse.
	ChannelCheck = "origin.check"
	// ChannelFind carries a FindRequest and its FindResponse.
	ChannelFind = "origin.find"
)

// Begun lists streams that began, by where they did.
type Begun struct {
	Groups []Group `codec:"g"`
	// Number counts the messages of an instance to a member; zero from an instance of an older version.
	// First marks the first message of those that tell all streams of the instance again.
	Number uint64 `codec:"n,omitempty"`
	First  bool   `codec:"f,omitempty"`
	// Urgent is set if upstreams of a service ran several versions when a stream began.
	Urgent bool `codec:"u,omitempty"`
}

// Group holds the streams that began at one service and software version.
type Group struct {
	Service  string       `codec:"s"`
	Software string       `codec:"v"`
	Streams  []origin.Key `codec:"k"`
}

// CheckRequest asks a member which messages of the instance it has received.
type CheckRequest struct{}

// CheckResponse names the last message before which none is missing since the last First; zero if there is
// none, or the member has restarted.
type CheckResponse struct {
	Number uint64 `codec:"n"`
}

// FindRequest asks where a stream began.
type FindRequest struct {
	Stream origin.Key `codec:"k"`
	// Service is where the stream is to go on.
	Service string `codec:"s"`
	// Forwarded is set if a member asks another one.
	Forwarded bool `codec:"f,omitempty"`
}

// FindResponse says where a stream began.
type FindResponse struct {
	// Known is set if the beginning of the stream is known, or if all upstreams of the service run, and
	// ran for long, the same software version.
	Known    bool   `codec:"n,omitempty"`
	Service  string `codec:"s,omitempty"`
	Software string `codec:"v,omitempty"`
}

// Links is the part of instance/link that a Recorder uses.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// RecorderConfig holds the settings of a Recorder.
type RecorderConfig struct {
	Links Links
	// Members returns the members of the control group, the preferred one first.
	Members func() []string
	Log     *eventlog.Sink
}

const (
	// copies is the number of members that are told of a stream, and asked those that are asked for one.
	copies, asked = 2, 3
	// urgentInterval and interval are the times between two messages, urgentInterval while upstreams of
	// a service run several versions: a stream that its caller goes on with can be placed by its
	// recorded origin only.
	urgentInterval, interval = 20 * time.Millisecond, 250 * time.Millisecond
	// checkInterval is the time between two checks of a member, checkTimeout bounds one.
	checkInterval, checkTimeout = time.Second, 500 * time.Millisecond
	// maxTold bounds the streams of a message, maxPending those that wait for one: all that an
	// instance remembers.
	maxTold, maxPending = 8192, 1 << 18
	// minRetellPause and maxRetellPause bound the pause before all is told again to a member that still
	// lacks some.
	minRetellPause, maxRetellPause = time.Second, 16 * time.Second
	// findTimeout bounds a question to a member: one that is cut off does not answer.
	findTimeout = 250 * time.Millisecond
)

var errUnknown = fault.New(fault.NotFound, "it is not known where the stream began")

// Recorder records where the streams of an instance begin, and finds where others did. It is safe for
// concurrent use.
type Recorder struct {
	cfg    RecorderConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	urgent chan struct{}

	mu  sync.Mutex
	own *origin.Store
	// targets are the members that are told.
	targets map[string]*target
}

// NewRecorder returns a recorder that is not started.
func NewRecorder(cfg RecorderConfig) *Recorder {
	return &Recorder{cfg: cfg, urgent: make(chan struct{}, 1), own: origin.NewStore(), targets: map[string]*target{}}
}

// Start implements kernel.Service.
func (r *Recorder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (r *Recorder) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
		r.done.Wait()
	}
	return nil
}

// Began records that a stream began at an origin. Urgent makes it known to members soon.
func (r *Recorder) Began(id []byte, at origin.Origin, urgent bool) {
	k := origin.KeyOf(id)
	r.mu.Lock()
	r.own.Add(clock.Now(), k, at)
	for _, t := range r.targets {
		t.add(k, at, urgent)
	}
	r.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// Find returns where the stream that the attempt with the given request ID began, and that is to go on at a
// service, began. It fails with fault.NotFound if that is not known, and with fault.Unavailable if no
// member answers.
func (r *Recorder) Find(ctx context.Context, id []byte, service string) (origin.Origin, error) {
	k := origin.KeyOf(id)
	r.mu.Lock()
	at, known := r.own.Find(clock.Now(), k)
	r.mu.Unlock()
	if known {
		return at, nil
	}
	err := error(fault.New(fault.Unavailable, "no member of the control group is known"))
	for _, member := range r.members(asked) {
		var a FindResponse
		if err = r.ask(ctx, member, &FindRequest{Stream: k, Service: service}, &a); err != nil {
			continue
		}
		if !a.Known {
			return origin.Origin{}, errUnknown
		}
		return origin.Origin{Service: a.Service, Software: a.Software}, nil
	}
	return origin.Origin{}, fault.Wrap(err, fault.Unavailable, "ask members where the stream began")
}

func (r *Recorder) ask(ctx context.Context, member string, q *FindRequest, a *FindResponse) error {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return r.cfg.Links.Call(ctx, member, ChannelFind, q, a)
}

// members returns the first members in the order of preference.
func (r *Recorder) members(count int) []string {
	all := r.cfg.Members()
	return all[:min(count, len(all))]
}

func (r *Recorder) run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-r.urgent:
			if !clock.Sleep(ctx, urgentInterval) {
				return
			}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.tell(ctx)
	}
}

// tell sends each member what it lacks, and checks those that are due.
func (r *Recorder) tell(ctx context.Context) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooseTargets()
	for _, t := range r.targets {
		if begun := t.take(now, r.own); begun != nil {
			if err := r.cfg.Links.Send(t.member, ChannelBegun, begun); err != nil {
				r.cfg.Log.Event("origins_not_sent").Str("member", t.member).Int("groups", int64(len(begun.Groups))).Err(err).End()
			}
		}
		if expected, due := t.beginCheck(now); due {
			r.done.Go(func() { r.check(ctx, t, expected) })
		}
	}
}

// check asks a member whether it has received the messages up to a number, and has all told again if it
// has not.
func (r *Recorder) check(ctx context.Context, t *target, expected uint64) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var response CheckResponse
	err := r.cfg.Links.Call(ctx, t.member, ChannelCheck, CheckRequest{}, &response)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.endCheck(clock.Now(), err == nil, response.Number >= expected) {
		r.cfg.Log.Event("origins_told_again").Str("member", t.member).Int("streams", int64(r.own.Len())).End()
	}
}

// chooseTargets makes the first members those that are told.
func (r *Recorder) chooseTargets() {
	chosen := map[string]*target{}
	for _, member := range r.members(copies) {
		t := r.targets[member]
		if t == nil {
			t = newTarget(member)
		}
		chosen[member] = t
	}
	r.targets = chosen
}
