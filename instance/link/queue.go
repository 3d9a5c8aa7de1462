package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// queuedMessage is an encoded envelope that waits to be written.
type queuedMessage struct {
	channel string
	lossy   bool
	bulk    bool
	lazy    bool
	data    []byte
	queued  time.Time
	call    *call // nil unless it is a request
}

// queue holds the messages that wait for a connection, control messages before bulk ones. Each
// priority is limited in messages, the queue in bytes, and all queues of the service together in
// bytes, so that unreachable peers use a bounded amount of memory.
type queue struct {
	mu       sync.Mutex
	control  []*queuedMessage
	bulk     []*queuedMessage
	bytes    int
	maxItems int
	maxBytes int
	shared   *budget
	closed   bool
	// hasWriter is set while a connection drains the queue, at least once per heartbeat interval.
	hasWriter bool
	ready     chan struct{}
}

// budget limits a number of bytes across several queues or connections.
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

// addBytes adjusts the byte counts; size is negative for a removed message.
func (q *queue) addBytes(size int) {
	q.bytes += size
	q.shared.used.Add(int64(size))
}

// push adds a message without blocking. If the queue is full and the message is lossy, push drops
// the oldest message of its channel, and the new one if there is still no room. Any other message
// fails with fault.Overloaded. The first result reports whether a message was dropped.
func (q *queue) push(it *queuedMessage) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false, fault.New(fault.Unavailable, "the send queue is closed")
	}
	list := q.listFor(it.bulk)
	dropped := false
	if len(*list) >= q.maxItems || !q.hasRoom(len(it.data)) {
		if !it.lossy {
			return false, fault.New(fault.Overloaded, "the send queue of the peer is full: %d messages, %d bytes", len(*list), q.bytes)
		}
		dropped = true
		if !q.dropOldest(list, it.channel) || !q.hasRoom(len(it.data)) {
			return true, nil
		}
	}
	it.queued = time.Now()
	*list = append(*list, it)
	q.addBytes(len(it.data))
	if it.lazy && q.hasWriter {
		return dropped, nil
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return dropped, nil
}

// setHasWriter records whether a connection drains the queue. If so, a lazy message does not wake
// the writer; otherwise it causes a dial like any other message.
func (q *queue) setHasWriter(hasWriter bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hasWriter = hasWriter
}

func (q *queue) listFor(bulk bool) *[]*queuedMessage {
	if bulk {
		return &q.bulk
	}
	return &q.control
}

func (q *queue) dropOldest(list *[]*queuedMessage, channel string) bool {
	for i, it := range *list {
		if it.channel == channel {
			q.addBytes(-len(it.data))
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// pop removes and returns the next message, or nil.
func (q *queue) pop() *queuedMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range []*[]*queuedMessage{&q.control, &q.bulk} {
		if len(*list) == 0 {
			continue
		}
		it := (*list)[0]
		(*list)[0] = nil
		*list = (*list)[1:]
		q.addBytes(-len(it.data))
		return it
	}
	return nil
}

// remove removes a call's request; it returns false if the request is not queued any more.
func (q *queue) remove(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range []*[]*queuedMessage{&q.control, &q.bulk} {
		for i, it := range *list {
			if it.call == c {
				q.addBytes(-len(it.data))
				*list = append((*list)[:i], (*list)[i+1:]...)
				return true
			}
		}
	}
	return false
}

// takeCalls removes all requests, returns their calls and drops lossy messages.
func (q *queue) takeCalls() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	var calls []*call
	for _, list := range []*[]*queuedMessage{&q.control, &q.bulk} {
		kept := (*list)[:0:0]
		for _, it := range *list {
			if it.call == nil && !it.lossy {
				kept = append(kept, it)
				continue
			}
			q.addBytes(-len(it.data))
			if it.call != nil {
				calls = append(calls, it.call)
			}
		}
		*list = kept
	}
	return calls
}

// hasMessages reports whether the queue is not empty.
func (q *queue) hasMessages() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.control)+len(q.bulk) > 0
}

// close drops all queued messages, rejects further ones, and returns the dropped calls.
func (q *queue) close() []*call {
	calls := q.takeCalls()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, list := range []*[]*queuedMessage{&q.control, &q.bulk} {
		for _, it := range *list {
			if it.call != nil {
				calls = append(calls, it.call)
			}
		}
		*list = nil
	}
	q.addBytes(-q.bytes)
	return calls
}
