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
		return q.push(&item{channel: channel, lossy: lossy, bulk: bulk, data: make([]byte, size)})
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
		g.Expect(it.channel != "beats" || len(it.data) == 30).To(BeTrue(), "the oldest is dropped, not the newest")
	}
	g.Expect(order).To(Equal([]string{"votes", "beats", "bulk"}))
	g.Expect(q.bytes).To(BeZero())

	_, err = push("bulk", false, true, 60)
	g.Expect(err).NotTo(HaveOccurred())
	other := newQueue(2, 1000, shared)
	_, err = other.push(&item{channel: "bulk", data: make([]byte, 60)})
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded), "all queues together are bounded")
	q.close()
	_, err = push("bulk", false, true, 1)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	_, err = other.push(&item{channel: "bulk", data: make([]byte, 60)})
	g.Expect(err).NotTo(HaveOccurred())
}

// Story: a peer answers late, when the caller has given up, or mixes up answers.
// Another caller must never get them.
func TestLateAndCrossedAnswersAreDropped(t *testing.T) {
	g := NewWithT(t)
	p := &peer{s: &Service{}, calls: map[uint64]*call{}}
	c := &call{id: 7, channel: "votes", done: make(chan struct{})}
	p.addCall(c)
	p.receive(nil, &envelope{Kind: kindAnswer, ID: 6, Channel: "votes"})
	p.receive(nil, &envelope{Kind: kindAnswer, ID: 7, Channel: "beats"})
	p.receive(nil, &envelope{Kind: kindRequest, ID: 7, Channel: "votes"})
	g.Expect(c.done).NotTo(BeClosed())
	g.Expect(p.s.UnmatchedAnswers()).To(BeEquivalentTo(2))
	p.receive(nil, &envelope{Kind: kindAnswer, ID: 7, Channel: "votes", Body: []byte{1}})
	g.Expect(c.done).To(BeClosed())
	p.dropCall(c)
	p.receive(nil, &envelope{Kind: kindAnswer, ID: 7, Channel: "votes"})
	g.Expect(p.s.UnmatchedAnswers()).To(BeEquivalentTo(3))
	g.Expect(c.answer.Body).To(Equal([]byte{1}))
}

// Story: an instance that was not linked yet, or whose link ended, is told that
// another one is there by lazy messages only. They must have the link dialled;
// waiting for its next heartbeat, they would wait for ever.
func TestLazyMessagesWakeAQueueWithoutWire(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(8, 1000, &budget{max: 1000})
	woken := func() bool {
		_, err := q.push(&item{lazy: true, data: []byte{1}})
		g.Expect(err).NotTo(HaveOccurred())
		select {
		case <-q.ready:
			return true
		default:
			return false
		}
	}
	g.Expect(woken()).To(BeTrue())
	q.serve(true)
	g.Expect(woken()).To(BeFalse())
	q.serve(false)
	g.Expect(woken()).To(BeTrue())
}
