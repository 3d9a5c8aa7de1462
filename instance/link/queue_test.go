package link

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

func TestQueueOrderAndBounds(t *testing.T) {
	g := NewWithT(t)
	shared := &budget{max: 100}
	q := newQueue(2, 1000, shared)
	push := func(channel string, lossy, bulk bool, size int) (bool, error) {
		return q.push(&queuedMessage{channel: channel, lossy: lossy, bulk: bulk, data: make([]byte, size)})
	}
	_, err := push("bulk", false, true, 10)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = push("beats", true, false, 20)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = push("votes", false, false, 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = push("votes", false, false, 1)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
	dropped, err := push("beats", true, false, 30)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dropped).To(BeTrue())

	var order []string
	for it := q.pop(); it != nil; it = q.pop() {
		order = append(order, it.channel)
		g.Expect(it.channel != "beats" || len(it.data) == 30).To(BeTrue(), "the oldest message must be dropped, not the newest")
	}
	g.Expect(order).To(Equal([]string{"votes", "beats", "bulk"}))
	g.Expect(q.bytes).To(BeZero())

	_, err = push("bulk", false, true, 60)
	g.Expect(err).NotTo(HaveOccurred())
	other := newQueue(2, 1000, shared)
	_, err = other.push(&queuedMessage{channel: "bulk", data: make([]byte, 60)})
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded), "all queues together are limited")
	q.close()
	_, err = push("bulk", false, true, 1)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	_, err = other.push(&queuedMessage{channel: "bulk", data: make([]byte, 60)})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a response that is late, after the caller has given up, or carries a wrong ID or
// channel, and reaches another caller.
func TestLateAndMismatchedResponsesAreDropped(t *testing.T) {
	g := NewWithT(t)
	p := &peer{service: &Service{}, calls: map[uint64]*call{}}
	c := &call{id: 7, channel: "votes", done: make(chan struct{})}
	p.addCall(c)
	p.receive(nil, &envelope{Kind: kindResponse, ID: 6, Channel: "votes"})
	p.receive(nil, &envelope{Kind: kindResponse, ID: 7, Channel: "beats"})
	p.receive(nil, &envelope{Kind: kindRequest, ID: 7, Channel: "votes"})
	g.Expect(c.done).NotTo(BeClosed())
	g.Expect(p.service.UnmatchedResponses()).To(BeEquivalentTo(2))
	p.receive(nil, &envelope{Kind: kindResponse, ID: 7, Channel: "votes", Body: []byte{1}})
	g.Expect(c.done).To(BeClosed())
	p.removeCall(c)
	p.receive(nil, &envelope{Kind: kindResponse, ID: 7, Channel: "votes"})
	g.Expect(p.service.UnmatchedResponses()).To(BeEquivalentTo(3))
	g.Expect(c.response.Body).To(Equal([]byte{1}))
}

// Guards against lazy messages that wait for ever on a link that is not up: they are the only
// messages that announce an instance to another one, so they have to cause the dial.
func TestLazyMessagesWakeAQueueWithoutConnection(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(8, 1000, &budget{max: 1000})
	woken := func() bool {
		_, err := q.push(&queuedMessage{lazy: true, data: []byte{1}})
		g.Expect(err).NotTo(HaveOccurred())
		select {
		case <-q.ready:
			return true
		default:
			return false
		}
	}
	g.Expect(woken()).To(BeTrue())
	q.setHasWriter(true)
	g.Expect(woken()).To(BeFalse())
	q.setHasWriter(false)
	g.Expect(woken()).To(BeTrue())
}
