package serving_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	coreserving "github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// ask sends a request to a member and returns the decoded response.
func (g *group) ask(at string, q serving.WatchRequest) serving.WatchResponse {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var a serving.WatchResponse
	other := g.names[0]
	if other == at {
		other = g.names[1]
	}
	g.Expect(g.instances[other].links.Call(ctx, at, serving.ChannelWatch, q, &a)).To(Succeed())
	g.Expect(a.Decode()).To(Succeed())
	return a
}

func upstreamAt(i int) coreserving.Upstream {
	return coreserving.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), State: coreserving.Ready, Slots: 8}
}

// After a restart of all instances, each asks for the whole state at once, and one encoded
// form serves all of them. An upstream that was announced in between must be in the next
// response: a stale encoded form would send callers to an upstream that is gone.
func TestEncodedStateIsCurrent(t *testing.T) {
	g := newGroup(t, 3)
	const many = 20
	announce := func(i int) {
		g.Eventually(func() error { return g.instances["m0"].serving.Announce(context.Background(), upstreamAt(i)) }).Should(Succeed())
	}
	for i := range many {
		announce(i)
	}
	var first serving.WatchResponse
	g.Eventually(func() int {
		first = g.ask("m1", serving.WatchRequest{})
		return len(first.Changes.Upstreams)
	}).Should(Equal(many))
	g.Expect(first.Encoded).NotTo(BeEmpty())
	g.Expect(first.Changes.Table).NotTo(BeEmpty())
	g.Expect(g.ask("m1", serving.WatchRequest{}).Changes).To(Equal(first.Changes))

	announce(many)
	g.Eventually(func() int { return len(g.ask("m1", serving.WatchRequest{}).Changes.Upstreams) }).Should(Equal(many + 1))
	g.Expect(g.ask("m1", serving.WatchRequest{Index: first.Changes.Index}).Changes.Upstreams).To(HaveLen(1))
}

// 200 upstreams register within one second, with one log entry each. With one response per
// entry, every instance would send 200 requests in that second to members that are already
// busy. The changes must arrive in a few responses, and none may be missing.
func TestChangesOfManyUpstreamsAreBatched(t *testing.T) {
	g := newGroup(t, 3)
	const many = 200
	startedAt := time.Now()
	go func() {
		for i := range many {
			go func() { _ = g.instances["m0"].serving.Announce(context.Background(), upstreamAt(i)) }()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	known, answers, index := 0, 0, uint64(0)
	for known < many && time.Since(startedAt) < timeout {
		a := g.ask("m0", serving.WatchRequest{Index: index, MaxWaitMS: 200})
		known, index = known+len(a.Changes.Upstreams), a.Changes.Index
		answers++
	}
	g.Expect(known).To(Equal(many))
	g.Expect(answers).To(BeNumerically("<=", 5+int(time.Since(startedAt)/(20*time.Millisecond))))
	t.Logf("%d answers in %v", answers, time.Since(startedAt))
}

// A fleet larger than a page: an instance that starts must get all of it, in responses that are
// small enough for its time limits, and none may count as confirmed before the last one.
func TestLargeStateComesInPages(t *testing.T) {
	g := newGroup(t, 3)
	const many = 2100
	var announced sync.WaitGroup
	slots := make(chan struct{}, 200)
	for i := range many {
		slots <- struct{}{}
		announced.Go(func() {
			defer func() { <-slots }()
			g.Eventually(func() error { return g.instances["m0"].serving.Announce(context.Background(), upstreamAt(i)) }).Should(Succeed())
		})
	}
	announced.Wait()
	known, index, pages := 0, uint64(0), 0
	for more := true; more; pages++ {
		a := g.ask("m0", serving.WatchRequest{Index: index, Compact: true, Continue: index > 0})
		known, index, more = known+len(a.Changes.Upstreams), a.Changes.Index, a.Changes.More
		g.Expect(a.Confirmed).To(Equal(!more))
		g.Expect(len(a.Encoded)).To(BeNumerically("<", 60<<10))
		g.Expect(len(a.Changes.Upstreams)).To(BeNumerically("<=", 1000))
	}
	g.Expect(known).To(Equal(many))
	g.Expect(pages).To(Equal(3))
	old := g.ask("m0", serving.WatchRequest{})
	g.Expect(old.Changes.Upstreams).To(HaveLen(many), "an instance of an older version gets the whole state")
	g.Expect(old.Confirmed).To(BeTrue())
}
