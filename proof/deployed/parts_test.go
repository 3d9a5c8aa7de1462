package deployed_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// deadlyPart is the part of a prompt that ends each upstream which begins to answer it.
	deadlyPart = "dead0001"
	// partCrashesKnown is after how many ends of upstreams such a part is known, restored from when on after
	// that sound requests are served as before.
	partCrashesKnown = 5
	restored         = 2 * inContact
	// soundShare is the share of sound requests that are served at the first try.
	soundShare = 0.9
	// soundCallers send a sound request every soundPause each.
	soundCallers, soundPause = 12, 100 * time.Millisecond
)

// postPrompt sends a request whose prompt has the given parts, and reports its status.
func (n *node) postPrompt(body, parts string) int {
	id := fmt.Sprintf("p%d", attempts.Add(1))
	status, _ := call("POST", "http://"+n.at(portFrontend)+"/a/x", body, "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "1500",
		"Model", "m", "Token-Count", "900,20", "Prefix-Hash", parts)
	return status
}

// prompts sends requests with a part that ends upstreams, beside sound ones that share all else.
type prompts struct {
	*quartet
	// deadly and sound give the parts of a prompt by its number.
	deadly, sound func(i int) string
	ended         chan struct{}
	callers       sync.WaitGroup
	// after counts the sound requests that are sent once sound ones have to be served again.
	all, after tally
	counts     atomic.Bool
}

func newPrompts(t *testing.T, deadly, sound func(int) string, prepare ...func(*site)) *prompts {
	s := watchedSite(t)
	for _, f := range prepare {
		f(s)
	}
	q := newQuartetAt(s)
	q.upstreams = q.fragile(6, q.cores...)
	q.awaitReady()
	if len(prepare) > 0 {
		q.awaitBudget()
	}
	p := &prompts{quartet: q, deadly: deadly, sound: sound, ended: make(chan struct{})}
	for c := range soundCallers {
		p.callers.Go(func() {
			for i := c; ; i += soundCallers {
				late := p.counts.Load()
				status := p.edges[i%len(p.edges)].postPrompt(fmt.Sprint("sound ", i), p.sound(i))
				p.all.note(status)
				if late {
					p.after.note(status)
				}
				select {
				case <-p.ended:
					return
				case <-time.After(soundPause):
				}
			}
		})
	}
	return p
}

// send sends requests with the deadly part, count at a time at the edges in turn, until restored has
// passed since the fifth crash and a few seconds more.
func (p *prompts) send(count int, pause, most time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	begun := time.Now()
	for i := 0; time.Since(begun) < most; i++ {
		for j := range count {
			all.Go(func() { p.edges[(i+j)%len(p.edges)].postPrompt(fmt.Sprint("deadly ", i, " ", j), p.deadly(i)) })
		}
		time.Sleep(pause)
		at := p.upstreams.partKnownAt()
		p.counts.Store(!at.IsZero() && time.Since(at) > restored)
	}
}

// end stops the sound callers.
func (p *prompts) end() {
	close(p.ended)
	p.callers.Wait()
}

// partKnownAt returns when the fifth upstream ended, or the last one if fewer did; zero if none did.
func (f *fragile) partKnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) == 0 {
		return time.Time{}
	}
	return f.crashes[min(len(f.crashes), partCrashesKnown)-1]
}

// lateArrivals returns how many deadly requests reached upstreams later than contact allows.
func (f *fragile) lateArrivals() (late int) {
	known := f.partKnownAt()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.arrivals {
		if len(f.crashes) >= partCrashesKnown && at.After(known.Add(inContact)) {
			late++
		}
	}
	return late
}

// Guards against a part of prompts that ends one upstream after the other, though no two requests with it
// are alike, and against refusing sound requests that share all else with them.
func TestPartThatCrashesUpstreamsIsStopped(t *testing.T) {
	own := func(kind string, i int) string { return fmt.Sprintf("%s%04x:500", kind, i) }
	scenes := map[string]struct {
		deadly, sound func(int) string
		count         int
		pause, most   time.Duration
	}{
		"in the middle": {
			func(i int) string { return "aaaa01:200,dead0001:100,bbbb01:100," + own("d", i) },
			func(i int) string { return "aaaa01:200,cccc01:100,bbbb01:100," + own("e", i) }, 1, 150 * time.Millisecond, 15 * time.Second,
		},
		"first, with a part that always follows": {
			func(i int) string { return "dead0001:200,bbbb01:100," + own("d", i) },
			func(i int) string { return "aaaa01:200,bbbb01:100," + own("e", i) }, 1, 150 * time.Millisecond, 15 * time.Second,
		},
		"only one": {
			func(i int) string { return "dead0001:200," + own("d", i) },
			func(i int) string { return fmt.Sprintf("aaaa%02x:200,", i%50) + own("e", i) }, 1, 300 * time.Millisecond, 16 * time.Second,
		},
		"rarely": {
			func(i int) string { return "aaaa01:200,dead0001:100," + own("d", i) },
			func(i int) string { return "aaaa01:200,cccc01:100," + own("e", i) }, 1, 1200 * time.Millisecond, 22 * time.Second,
		},
		"many at once": {
			func(i int) string { return "aaaa01:200,dead0001:100," + own("d", i) },
			func(i int) string { return "aaaa01:200,cccc01:100," + own("e", i) }, 6, time.Second, 15 * time.Second,
		},
	}
	for name, scene := range scenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPrompts(t, scene.deadly, scene.sound)
			time.Sleep(time.Second)
			p.send(scene.count, scene.pause, scene.most)
			p.end()
			late := p.upstreams.lateArrivals()
			t.Logf("%d upstreams ended, %d arrivals later than %v after the fifth; sound: %d of %d served, from %v after it %d of %d",
				p.crashes(), late, inContact, p.all.served.Load(), p.all.all.Load(), restored, p.after.served.Load(), p.after.all.Load())
			p.g.Expect(p.crashes()).To(BeNumerically(">=", crashesKnown))
			p.g.Expect(late).To(BeNumerically("<=", mostRepeats), p.crashLines)
			p.g.Expect(float64(p.all.served.Load())).To(BeNumerically(">=", soundShare*float64(p.all.all.Load())), "sound requests are served")
			p.g.Expect(p.after.all.Load()).To(BeNumerically(">", 0), "sound requests come afterwards")
			p.g.Expect(float64(p.after.served.Load())).To(BeNumerically(">=", soundShare*float64(p.after.all.Load())), "sound requests are served as before")
		})
	}
}

// quarantinedParts returns the quarantined entries of parts.
func (q *quartet) quarantinedParts() (list []quarantined) {
	for _, e := range q.list() {
		if len(e.Parts) > 0 && e.State == "quarantined" {
			list = append(list, e)
		}
	}
	return list
}

// Guards against a part that is forgotten with the processes that knew it, and against one that stays
// quarantined though an operator has released it.
func TestQuarantinedPartOutlivesAllProcessesUntilItIsReleased(t *testing.T) {
	t.Parallel()
	q := newQuartetAt(watchedSite(t))
	q.upstreams = q.fragile(6, q.cores...)
	q.awaitReady()
	var sent atomic.Int64
	post := func(e *node) int {
		n := sent.Add(1)
		return e.postPrompt(fmt.Sprint("deadly ", n), fmt.Sprintf("aaaa01:200,%s:100,%04x:500", deadlyPart, n))
	}
	for _, e := range q.edges {
		q.g.Eventually(func() int { return post(e) }, patience, 100*time.Millisecond).Should(Equal(400), e.log)
	}
	q.g.Expect(q.quarantinedParts()).NotTo(BeEmpty())
	for _, n := range q.nodes {
		n.kill()
	}
	for _, n := range q.nodes {
		n.start(false)
	}
	q.awaitReady()
	crashes := q.crashes()
	for range 3 {
		for _, e := range q.edges {
			q.g.Expect(post(e)).To(Equal(400), "all know it after the end of all")
		}
	}
	q.g.Expect(q.crashes()).To(Equal(crashes))
	for _, e := range q.quarantinedParts() {
		status, _ := call("DELETE", "http://"+q.cores[1].at(portControl)+"/v1/operator/quarantine/"+e.Fingerprint, "")
		q.g.Expect(status).To(Equal(200))
	}
	q.g.Eventually(func() int { post(q.edges[2]); return q.crashes() }, patience, 50*time.Millisecond).Should(BeNumerically(">", crashes))
}

// Guards against blaming the parts that many prompts share for upstreams that end for other reasons.
func TestUpstreamsThatEndForOtherReasonsBlameNoPart(t *testing.T) {
	t.Parallel()
	p := newPrompts(t, nil, func(i int) string { return fmt.Sprintf("aaaa01:200,bbbb%02x:100,%04x:500", i%10, i) }, quickBudget)
	p.upstreams.work.Store(int64(150 * time.Millisecond))
	for range 12 {
		time.Sleep(500 * time.Millisecond)
		p.upstreams.endOne()
	}
	time.Sleep(time.Second)
	p.end()
	t.Logf("%d upstreams ended, %d of %d served", p.crashes(), p.all.served.Load(), p.all.all.Load())
	p.g.Expect(p.all.served.Load()).To(Equal(p.all.all.Load()))
	p.g.Expect(p.quarantinedParts()).To(BeEmpty())
}
