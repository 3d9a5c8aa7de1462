package relay

import (
	"bytes"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// request is one request of a caller. Its buffers are reused for later requests; progress holds
// everything else.
type request struct {
	head http1.Head
	body []byte
	// fields are the forwarded header fields, encoded.
	fields []byte

	mu sync.Mutex
	progress
}

// progress is the state of a request that is reset before its buffers are reused.
type progress struct {
	// readErr is the error that occurred while the message was read. headRead is set once its head
	// was received.
	readErr  error
	headRead bool
	arrived  time.Time
	// gone is closed when the caller has hung up. mu guards abandoned and abort; abort cancels the
	// current attempt.
	gone      chan struct{}
	abandoned bool
	abort     func()

	// These fields are taken from the head.
	id, key, promptSegments, lastEvent, resumes []byte
	timeout                                     time.Duration
	tokens                                      int
	// reservedBytes is how much of the body budget the request holds.
	reservedBytes int64

	// table is the version of the routing table by which the request is decided; zero for none.
	table        uint64
	route        *route.Route
	organisation *route.Organisation
	// keys is the index in which the key was last looked up.
	keys    *route.Index
	service string
	// urgency is the priority at the upstream, 0 being first.
	urgency int
	// deadline is when the final response is due.
	deadline time.Time
	// affinity is the hash of the shared segments of the prompt, zero if there are none.
	affinity uint64
	// sharedTokens is the number of tokens that affinity covers, and capacity the memory of an
	// engine in tokens. predictedMS is the predicted time to the first event at the latest choice,
	// and nominalMS that time at an upstream as fast as its peers.
	sharedTokens, capacity int
	predictedMS, nominalMS float64
	// origin is where the stream that the request goes on with, or began, began; nil before it has.
	origin *origin.Origin
	// software is the software version of the latest chosen upstream.
	software string
	// fetchRate is how many prompt tokens per millisecond engines can fetch from each other.
	// fetchFrom is the address of the engine that has the prompt cached, if the chosen one does
	// not.
	fetchRate float64
	fetchFrom string
	// uncachedTokens is the part of the prompt that the latest choice has to prefill, and
	// queuedTokens what was queued there before it.
	uncachedTokens, queuedTokens int
	// taken is the number of requests that were known to be in flight at the upstream of the latest
	// choice, out of slots, and meanTaken the mean at all that were considered.
	taken, slots int
	meanTaken    float64
	// rank is the relative urgency of the route. quick is set if the request goes to the pool for
	// quick requests, recorded once it was recorded in the load statistics, and shed if it is
	// refused for lack of capacity.
	rank                  float64
	quick, recorded, shed bool
	// admission holds the figures behind the decision to shed it or not; zero if there is enough capacity.
	admission admission
	// maxQueueMS bounds the queue before the request at an engine, in milliseconds.
	maxQueueMS float64
	// firstEventAfter is the time from the latest send to the first event.
	firstEventAfter time.Duration
	// longestPause is the longest time between two forwarded events, and lastEventAt when the
	// latest one was forwarded.
	longestPause time.Duration
	lastEventAt  time.Time
	// sent counts the upstreams that the request was sent to; mayHaveRun is set if one of them may
	// have run it.
	sent       int
	mayHaveRun bool
	// usageCounted is set once the request is counted in the usage of its organisation. It outlives
	// the request, as a liveness check may still use it.
	usageCounted *atomic.Bool
	// barred is why the request must not be sent any more; nil unless its key was removed, or can no
	// longer be verified, after it was admitted.
	barred *refusal
	// broken is set if the caller received only a part of the response.
	broken bool
	// cachedFingerprint is the fingerprint, zero until it is first needed.
	cachedFingerprint quarantine.Fingerprint
	// cachedParts are the fingerprints of the shared parts of the prompt, nil until they are first needed.
	cachedParts []quarantine.Fingerprint
	// allLimited is set if no upstream was left because of rate limits, and usedToken if a rate
	// token was used to send the request. tokenRequestedFrom is the upstream for which a token was
	// last requested, at tokenRequestedAt.
	allLimited, usedToken bool
	tokenRequestedFrom    uint64
	tokenRequestedAt      time.Time
	// permitUntil is until when the request may be sent to the chosen cold upstream, by clock.Now;
	// zero if that is warm.
	permitUntil time.Time
	// allConnected is set if no upstream was left because this instance uses all connections that it may
	// open to them.
	allConnected bool
	// pauseLeft is when the first of the upstreams that asked for a pause takes requests again; zero if
	// the latest choice found another reason, or an upstream.
	pauseLeft time.Duration
	// tellsLoad is set if the request was to get a granted slot, so that the member is told of its start and
	// end. granted is the incarnation at which a slot is granted until the next choice, startTold is set if
	// the member knows of the latest choice by its grant, and slotResult is what became of the grant.
	tellsLoad, startTold bool
	granted              uint64
	slotResult           string
	// trial is set if the request is quarantined and may be tried once, as the trial of the entry trialOf.
	trial   bool
	trialOf quarantine.Fingerprint
	// upstream is the last upstream used, and lastErr the error of the last attempt.
	upstream string
	lastErr  error
}

var requests = sync.Pool{New: func() any { return &request{} }}

// admission holds the figures by which a request was admitted or shed: the admitted share of similar requests,
// the available and the required number of upstreams, whether the shared prompt segments were cached, and the
// work of the request in prompt tokens.
type admission struct {
	share, availableEngines, requiredEngines float64
	cached                                   bool
	work                                     int
}

// maxPooledBody bounds the body buffers that are reused, in bytes.
const maxPooledBody = 128 << 10

func newRequest() *request {
	r := requests.Get().(*request)
	r.gone = make(chan struct{})
	r.usageCounted = &atomic.Bool{}
	return r
}

// release returns the buffers of the request to the pool. The request must not be used afterwards.
func (r *request) release() {
	if cap(r.body) > maxPooledBody {
		return
	}
	// Leftover data must not become part of another caller's request.
	r.body, r.fields, r.progress = r.body[:0], r.fields[:0], progress{}
	requests.Put(r)
}

// abandon marks the caller as gone and cancels the current attempt.
func (r *request) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abandoned {
		return
	}
	r.abandoned = true
	close(r.gone)
	if r.abort != nil {
		r.abort()
	}
}

// attach sets the function that cancels the current attempt and reports false if the caller is
// already gone. detach removes the function.
func (r *request) attach(abort func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abandoned {
		return false
	}
	r.abort = abort
	return true
}

func (r *request) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abort = nil
}

func (r *request) isGone() bool {
	select {
	case <-r.gone:
		return true
	default:
		return false
	}
}

// parseFields evaluates the header fields and encodes those that are forwarded.
func (r *request) parseFields(h *Headers) error {
	var listed []byte
	r.fields = r.fields[:0]
	for i := range r.head.Fields {
		if f := &r.head.Fields[i]; f.Is("Connection") {
			listed = append(append(listed, f.Value...), ',')
		}
	}
	for i := range r.head.Fields {
		f := &r.head.Fields[i]
		forward, err := r.parseField(h, f)
		if err != nil {
			return err
		}
		if forward && !isHopByHop(f) && (len(listed) == 0 || !isListed(listed, f.Name) || isEndToEnd(h, f)) {
			r.fields = appendField(r.fields, f.Name, f.Value)
		}
	}
	return nil
}

// parseField evaluates one field and reports whether it is forwarded.
func (r *request) parseField(h *Headers, f *http1.Field) (bool, error) {
	switch {
	case f.Is(h.RequestID):
		return true, setOnce(&r.id, f)
	case f.Is(h.Key):
		return false, setOnce(&r.key, f)
	case f.Is(h.Deadline):
		ms, ok := http1.ParseUint(f.Value)
		if !ok || r.timeout != 0 {
			return false, fault.New(fault.Invalid, "%s: one number of milliseconds is needed", h.Deadline)
		}
		r.timeout = time.Duration(ms) * time.Millisecond
		return false, nil
	case f.Is(h.PromptSegments):
		return true, setOnce(&r.promptSegments, f)
	case f.Is(h.LastEvent):
		// encode writes this field again, with a newer ID when this instance resumes the stream.
		return false, setOnce(&r.lastEvent, f)
	case f.Is(h.Resumes):
		return true, setOnce(&r.resumes, f)
	case f.Is(h.TokenCounts):
		count, _, _ := bytes.Cut(f.Value, []byte{','})
		n, _ := http1.ParseUint(bytes.TrimSpace(count))
		r.tokens = int(n)
		return true, nil
	}
	for _, name := range h.Reserved {
		if f.Is(name) {
			return false, nil
		}
	}
	return true, nil
}

// setOnce stores the value of a field that must not be repeated: another reader might use the other
// of two values.
func setOnce(to *[]byte, f *http1.Field) error {
	if *to != nil {
		return fault.New(fault.Invalid, "%s stands twice", f.Name)
	}
	*to = f.Value
	return nil
}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func isHopByHop(f *http1.Field) bool {
	for _, name := range hopByHop {
		if f.Is(name) {
			return true
		}
	}
	return false
}

func isListed(list, name []byte) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte{','})
		if bytes.EqualFold(bytes.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

func isEndToEnd(h *Headers, f *http1.Field) bool {
	if f.Is("Host") {
		return true
	}
	for _, name := range h.EndToEnd {
		if f.Is(name) {
			return true
		}
	}
	return false
}

func appendField(b, name, value []byte) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

func appendString(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// encode appends the request for an upstream. left is the remaining time, and lastEvent the ID of
// the event after which a stream continues.
func (r *request) encode(b []byte, h *Headers, id string, left time.Duration, lastEvent []byte) []byte {
	b = append(append(b, r.head.Method...), ' ')
	b = append(append(b, r.head.Target...), " HTTP/1.1\r\n"...)
	b = append(b, r.fields...)
	b = append(append(b, h.Deadline...), ": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"...)
	b = appendString(b, h.ExpectInstance, id)
	if r.organisation != nil {
		b = appendString(b, h.Organisation, r.organisation.Name)
	}
	b = append(append(b, h.Urgency...), ": "...)
	b = strconv.AppendInt(b, int64(r.urgency), 10)
	b = append(b, "\r\n"...)
	if r.fetchFrom != "" {
		b = appendString(b, h.FetchFrom, r.fetchFrom)
	}
	if len(lastEvent) > 0 {
		b = append(append(append(append(b, h.LastEvent...), ": "...), lastEvent...), "\r\n"...)
	}
	if len(r.body) > 0 || r.head.Framing != http1.NoBody || string(r.head.Method) == "POST" || string(r.head.Method) == "PUT" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// fingerprint returns the fingerprint of a request whose route is known.
func (r *request) fingerprint() quarantine.Fingerprint {
	if r.cachedFingerprint == (quarantine.Fingerprint{}) {
		r.cachedFingerprint = quarantine.FingerprintOf(r.route.Host, string(r.head.Target), r.organisationName(), r.body)
	}
	return r.cachedFingerprint
}

// organisationName returns the name of the organisation; empty for an anonymous caller.
func (r *request) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

// maxParts bounds the parts of a prompt that are looked at; further ones are ignored.
const maxParts = 32

// sharedParts returns the fingerprints of the parts of the prompt that other requests may share, which
// are all but the last one, in their order.
func (r *request) sharedParts() []quarantine.Fingerprint {
	if r.cachedParts != nil {
		return r.cachedParts
	}
	r.cachedParts = []quarantine.Fingerprint{}
	rest := r.promptSegments
	for len(r.cachedParts) < maxParts {
		segment, after, more := bytes.Cut(rest, []byte{','})
		if !more {
			break
		}
		id, _, _ := bytes.Cut(segment, []byte{':'})
		r.cachedParts = append(r.cachedParts, quarantine.FingerprintOfPart(r.service, bytes.ToLower(bytes.TrimSpace(id))))
		rest = after
	}
	return r.cachedParts
}

// urgencyLevels is the number of urgency levels that upstreams support.
const urgencyLevels = 10

// left returns the time until the final response is due.
func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// sharedPrefix returns a hash of the prompt segments that are shared with other requests, which are
// all but the last one, and their number of tokens.
func sharedPrefix(segments []byte) (hash uint64, count int) {
	i := bytes.LastIndexByte(segments, ',')
	if i < 0 {
		return 0, 0
	}
	shared := segments[:i]
	tokens := 0
	for rest := shared; len(rest) > 0; {
		var segment []byte
		segment, rest, _ = bytes.Cut(rest, []byte{','})
		if j := bytes.LastIndexByte(segment, ':'); j >= 0 {
			n, _ := http1.ParseUint(bytes.TrimSpace(segment[j+1:]))
			tokens += int(n)
		}
	}
	return max(1, xxhash.Sum64(shared)), tokens
}
