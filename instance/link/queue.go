package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// item is one envelope on its way out.
type item struct {
	channel string
	lossy   bool
	bulk    bool
	lazy    bool
	data    []byte
	queued  time.Time
	call    *call // nil for messages that expect no answer
}

// queue holds what waits for a connection: control before bulk, each bounded in
// messages and both together in bytes, and all queues of the service together in
// bytes, so that peers that cannot be reached cost a bounded amount of memory.
type queue struct {
	mu       sync.Mutex
	control  []*item
	bulk     []*item
	bytes    int
	maxItems int
	maxBytes int
	shared   *budget
	closed   bool
	// served says that a wire drains the queue, at each heartbeat at least.
	served bool
	ready  chan struct{}
}

// budget counts the bytes in all queues of a service.
type budget struct {
	used atomic.Int64
	max  int64
}

func newQueue(maxItems, maxBytes int, shared *budget) *queue {
	return &queue{maxItems: maxItems, maxBytes: maxBytes, shared: shared, ready: make(chan struct{}, 1)}
}

func (q *queue) hasRoom(size int) bool {
	return q.bytes+size <= q.maxBytes && q.shared.used.Load()+int64(size) <= q.shared.max
}

// grow counts bytes that come, or go when size is negative.
func (q *queue) grow(size int) {
	q.bytes += size
	q.shared.used.Add(int64(size))
}

// push adds an item without blocking. A full queue drops the oldest item of the
// same channel when that is lossy, and refuses others with fault.Overloaded. The
// first result says whether something was dropped.
func (q *queue) push(it *item) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false, fault.New(fault.Unavailable, "the link is closed")
	}
	list := q.list(it.bulk)
	dropped := false
	if len(*list) >= q.maxItems || !q.hasRoom(len(it.data)) {
		if !it.lossy {
			return false, fault.New(fault.Overloaded, "the queue to the peer is full: %d messages, %d bytes", len(*list), q.bytes)
		}
		dropped = true
		if !q.dropOldest(list, it.channel) || !q.hasRoom(len(it.data)) {
			return true, nil
		}
	}
	it.queued = time.Now()
	*list = append(*list, it)
	q.grow(len(it.data))
	if it.lazy && q.served {
		return dropped, nil
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return dropped, nil
}

// serve states whether a wire drains the queue. Lazy messages wake nobody while
// one does; without one, they are what a link is dialled for.
func (q *queue) serve(served bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served = served
}

func (q *queue) list(bulk bool) *[]*item {
	if bulk {
		return &q.bulk
	}
	return &q.control
}

func (q *queue) dropOldest(list *[]*item, channel string) bool {
	for i, it := range *list {
		if it.channel == channel {
			q.grow(-len(it.data))
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// pop takes the next item, or nil.
func (q *queue) pop() *item {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range []*[]*item{&q.control, &q.bulk} {
		if len(*list) == 0 {
			continue
		}
		it := (*list)[0]
		(*list)[0] = nil
		*list = (*list)[1:]
		q.grow(-len(it.data))
		return it
	}
	return nil
}

// remove takes a call's item out; false means that a writer has it already.
func (q *queue) remove(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range []*[]*item{&q.control, &q.bulk} {
		for i, it := range *list {
			if it.call == c {
				q.grow(-len(it.data))
				*list = append((*list)[:i], (*list)[i+1:]...)
				return true
			}
		}
	}
	return false
}

// takeCalls takes out all items that expect an answer and drops lossy ones.
func (q *queue) takeCalls() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	var calls []*call
	for _, list := range []*[]*item{&q.control, &q.bulk} {
		kept := (*list)[:0:0]
		for _, it := range *list {
			if it.call == nil && !it.lossy {
				kept = append(kept, it)
				continue
			}
			q.grow(-len(it.data))
			if it.call != nil {
				calls = append(calls, it.call)
			}
		}
		*list = kept
	}
	return calls
}

// waiting reports whether something is queued.
func (q *queue) waiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.control)+len(q.bulk) > 0
}

// close drops all that waits and refuses more; it returns the calls among it.
func (q *queue) close() []*call {
	calls := q.takeCalls()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, list := range []*[]*item{&q.control, &q.bulk} {
		for _, it := range *list {
			if it.call != nil {
				calls = append(calls, it.call)
			}
		}
		*list = nil
	}
	q.grow(-q.bytes)
	return calls
}
