package relay

import (
	"bytes"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// request is one request of a caller, from its head on. Its buffers are used again
// for other requests; all else is in progress.
type request struct {
	head http1.Head
	body []byte
	// fields are the header fields that are forwarded, encoded.
	fields []byte

	mu sync.Mutex
	progress
}

// progress is what is known of a request and what became of it.
type progress struct {
	// fail is what is wrong with the message itself, headRead that its head came.
	fail     error
	headRead bool
	arrived  time.Time
	// gone is closed when the caller has hung up. mu guards abandoned and abort,
	// which ends the attempt under way.
	gone      chan struct{}
	abandoned bool
	abort     func()

	// What the head says.
	id, key, parts, lastEvent []byte
	wait                      time.Duration
	tokens                    int
	// booked is how many bytes are booked for the body.
	booked int64

	route        *route.Route
	organisation *route.Organisation
	service      string
	// urgency is the rank at the upstream, 0 being first.
	urgency int
	// deadline is when the final answer is due.
	deadline time.Time
	// affinity is the hash of the prompt's shared parts, zero if there are none.
	affinity uint64
	// shared is how many tokens the affinity names, capacity the memory of an engine
	// in tokens; predicted, unread and ahead say what was expected of the last choice, and
	// nominal what was at an upstream that is as fast as its peers.
	shared, capacity   int
	predicted, nominal float64
	// fetchRate is how many tokens of a prompt engines take over in a millisecond, and
	// fetchFrom the address of the one that has read it, if the chosen one has not.
	fetchRate     float64
	fetchFrom     string
	unread, ahead int
	// rank is how urgent the route is; quick says that it goes to the upstreams for
	// quick requests, offered that it was counted, shed that it is among those that
	// can't be borne.
	rank                 float64
	quick, offered, shed bool
	// admission is what decided that it is shed.
	admission admission
	// maxAhead is how much may wait before it at an engine, in milliseconds.
	maxAhead float64
	// first is the time from the last sending to the first event.
	first time.Duration
	// pause is the longest time between two events that went out, lastOut when the
	// latest one did.
	pause   time.Duration
	lastOut time.Time
	// sent counts the upstreams that the request was sent to; ran says that one of
	// them may have run it.
	sent int
	ran  bool
	// counted is set once it is in the usage of its organisation. It outlives the request.
	counted *atomic.Bool
	// leaseLost says that it was not sent since keys can't be told any more.
	leaseLost bool
	// broken says that a part of an answer is out and the rest will not come.
	broken bool
	// content is the fingerprint, zero as long as nobody asked for it.
	content quarantine.Fingerprint
	// limited says that upstreams were passed over for their limits and none was left, right
	// that a right was used to send it, and wanted which upstream's was asked for at wantedAt.
	limited, right bool
	wanted         uint64
	wantedAt       time.Time
	// trial says that it is quarantined and may be tried once.
	trial bool
	// upstream is the last one used, last what became of it.
	upstream string
	last     error
}

var requests = sync.Pool{New: func() any { return &request{} }}

// admission is what a request was refused by for want of reading: the part of its like that
// was taken, how many upstreams could read and how many were asked for, and whether its shared
// parts were kept.
type admission struct {
	part, able, asked float64
	cached            bool
}

// maxKeptBody bounds the buffers that are used again.
const maxKeptBody = 128 << 10

func newRequest() *request {
	r := requests.Get().(*request)
	r.gone = make(chan struct{})
	r.counted = &atomic.Bool{}
	return r
}

// release gives the request's buffers back. It must not be used by anybody then.
func (r *request) release() {
	if cap(r.body) > maxKeptBody {
		return
	}
	// What is left in the buffers must not become part of another caller's request.
	r.body, r.fields, r.progress = r.body[:0], r.fields[:0], progress{}
	requests.Put(r)
}

// abandon tells the request that its caller is gone, and ends its attempt.
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

// attach sets what ends the attempt that begins; false means that the caller is
// gone already. detach takes it back.
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

// read takes what the header fields say, and encodes those that are forwarded.
func (r *request) read(h *Headers) error {
	var listed []byte
	r.fields = r.fields[:0]
	for i := range r.head.Fields {
		if f := &r.head.Fields[i]; f.Is("Connection") {
			listed = append(append(listed, f.Value...), ',')
		}
	}
	for i := range r.head.Fields {
		f := &r.head.Fields[i]
		forward, err := r.readField(h, f)
		if err != nil {
			return err
		}
		if forward && !isHopByHop(f) && (len(listed) == 0 || !isListed(listed, f.Name) || isEndToEnd(h, f)) {
			r.fields = appendField(r.fields, f.Name, f.Value)
		}
	}
	return nil
}

// readField reads one field and reports whether it is forwarded.
func (r *request) readField(h *Headers, f *http1.Field) (bool, error) {
	switch {
	case f.Is(h.RequestID):
		return true, once(&r.id, f)
	case f.Is(h.Key):
		return false, once(&r.key, f)
	case f.Is(h.Deadline):
		ms, ok := http1.ParseUint(f.Value)
		if !ok || r.wait != 0 {
			return false, fault.New(fault.Invalid, "%s: one number of milliseconds is needed", h.Deadline)
		}
		r.wait = time.Duration(ms) * time.Millisecond
		return false, nil
	case f.Is(h.Parts):
		return true, once(&r.parts, f)
	case f.Is(h.LastEvent):
		// A resume by this instance sets it anew; see request.encode.
		return false, once(&r.lastEvent, f)
	case f.Is(h.Tokens):
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

// once takes the value of a field that may stand once. Of two, another reader might
// believe the other one.
func once(to *[]byte, f *http1.Field) error {
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

// encode writes the request for an upstream: left is the time that it has, and
// lastEvent the event after which a stream goes on.
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
	if r.content == (quarantine.Fingerprint{}) {
		organisation := ""
		if r.organisation != nil {
			organisation = r.organisation.Name
		}
		r.content = quarantine.FingerprintOf(r.route.Host, string(r.head.Target), organisation, r.body)
	}
	return r.content
}

// urgencyLevels is how many ranks upstreams know.
const urgencyLevels = 10

// left returns the time until the final answer is due.
func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// sharedParts returns a hash of the parts that the request shares with others,
// all but the last one, and how many tokens they have.
func sharedParts(parts []byte) (hash uint64, count int) {
	i := bytes.LastIndexByte(parts, ',')
	if i < 0 {
		return 0, 0
	}
	shared := parts[:i]
	tokens := 0
	for rest := shared; len(rest) > 0; {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{','})
		if j := bytes.LastIndexByte(part, ':'); j >= 0 {
			n, _ := http1.ParseUint(bytes.TrimSpace(part[j+1:]))
			tokens += int(n)
		}
	}
	return max(1, xxhash.Sum64(shared)), tokens
}
