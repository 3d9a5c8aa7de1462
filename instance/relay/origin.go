package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Origins shares among instances where streams began.
type Origins interface {
	// Began records that the attempt with the given request ID began a stream. Urgent makes it known to
	// other instances soon.
	Began(id []byte, at origin.Origin, urgent bool)
	// Find returns where the stream that an attempt began, and that is to go on at a service, began.
	Find(ctx context.Context, id []byte, service string) (origin.Origin, error)
}

var errUnknownOrigin = &refusal{503, "not run: the software version that began the stream is not known", 100 * time.Millisecond}

// takesUp reports whether a request goes on with a stream that an earlier attempt of its caller began.
func (r *request) takesUp() bool { return r.route.Resumable && len(r.lastEvent) > 0 }

// findOrigin finds where the stream that a request goes on with began. It must go on at that software
// version, and at that service if the route still leads there.
func (s *Service) findOrigin(r *request) *refusal {
	if s.cfg.Origins == nil || !r.takesUp() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.left(clock.Now()))
	defer cancel()
	if !r.attach(cancel) {
		return errUnknownOrigin
	}
	defer r.detach()
	at, err := s.cfg.Origins.Find(ctx, r.resumes, r.service)
	if err == nil && !leadsTo(r.route, at.Service) {
		err = fault.New(fault.NotFound, "the route does not lead to service %s any more", at.Service)
	}
	s.cfg.Log.Event("stream_taken_up").Bytes("request", r.id).Bytes("resumes", r.resumes).Bytes("after_event", r.lastEvent).
		Str("service", at.Service).Str("software", at.Software).Err(err).End()
	if err != nil {
		return errUnknownOrigin
	}
	r.origin, r.service = &at, at.Service
	return nil
}

func leadsTo(t *route.Route, service string) bool {
	for i := range t.Services {
		if t.Services[i].Service == service && t.Services[i].Weight > 0 {
			return true
		}
	}
	return false
}

// recordOrigin records, before the first event is forwarded, where a stream that may be resumed began.
func (a *attempt) recordOrigin() {
	r := a.r
	if !r.route.Resumable {
		return
	}
	id := r.id
	if r.origin == nil {
		r.origin = &origin.Origin{Service: r.service, Software: a.software}
	} else if len(r.resumes) > 0 {
		id = r.resumes
	}
	// Requests without an ID can't be named by those that go on with their streams.
	if a.s.cfg.Origins != nil && len(id) > 0 {
		a.s.cfg.Origins.Began(id, *r.origin, a.s.fleet.severalVersions(r.service))
	}
}

// otherVersion reports whether an upstream runs another software version than the one at which the stream
// of a request began.
func (r *request) otherVersion(u *upstream) bool {
	return r.origin != nil && u.software != r.origin.Software
}

// severalVersions reports whether the upstreams of a service that get work run several software versions.
func (f *fleet) severalVersions(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.service(service).versions) > 1
}
