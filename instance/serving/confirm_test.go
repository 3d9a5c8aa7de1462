package serving

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// quorumRead simulates confirming reads that take some time.
type quorumRead struct {
	mu    sync.Mutex
	count int
	err   error
}

func (q *quorumRead) read(context.Context) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count++
	time.Sleep(3 * time.Millisecond)
	return q.err
}

// Each of many instances that follow a member made it ask the leader; the leader of a large
// deployment did little else. Their number must not matter, and none may rest on a read from
// before its request: a change that was acknowledged in between could be missing.
func TestConfirmationsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := &quorumRead{}
		c := confirmations{read: q.read, now: time.Now}
		var waiting sync.WaitGroup
		for i := range 1000 {
			waiting.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				arrived := time.Now()
				time.Sleep(250 * time.Millisecond)
				at, err := c.after(context.Background(), arrived)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(at).To(BeTemporally(">=", arrived))
				g.Expect(time.Since(at)).To(BeNumerically("<", 2*maxConfirmationAge))
			})
		}
		waiting.Wait()
		g.Expect(q.count).To(BeNumerically("<", 60))
	})
}

// A request that arrives while a read is under way must wait for the next one.
func TestConfirmationIsNotOlderThanTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := &quorumRead{}
		c := confirmations{read: q.read, now: time.Now}
		go func() { _, _ = c.after(context.Background(), time.Now()) }()
		time.Sleep(time.Millisecond)
		arrived := time.Now()
		at, err := c.after(context.Background(), arrived)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(at).To(BeTemporally(">=", arrived))
		g.Expect(q.count).To(Equal(2))

		q.err = fault.New(fault.Unavailable, "no quorum")
		time.Sleep(2 * maxConfirmationAge)
		_, err = c.after(context.Background(), time.Now())
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	})
}
