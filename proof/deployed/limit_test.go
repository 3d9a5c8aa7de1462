package deployed_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// limitWindow is the span in which an upstream that names a limit may get limitRatio times
	// what that allows, and limitSlack requests more.
	limitWindow            = 4 * time.Second
	limitRatio, limitSlack = 1.5, 5
)

// named is a limit that an upstream names in its answers, and what came while it did.
type named struct {
	mu sync.Mutex
	// perSecond is zero while none is named.
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

func (n *named) set(perSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perSecond, n.since, n.arrivals = perSecond, time.Now(), nil
}

// arrived notes a request, and names the limit in its answer.
func (n *named) arrived(out http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, time.Now())
	if n.perSecond > 0 {
		out.Header().Set("Server-Limit", strconv.FormatFloat(n.perSecond, 'f', -1, 64))
	}
}

// worst returns how many requests came in the worst window that ends later than inContact
// after the limit was named, and how many are allowed.
func (n *named) worst() (most int, allowed float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, end := range n.arrivals {
		if end.Sub(n.since) < inContact {
			continue
		}
		count := 0
		for _, at := range n.arrivals[:i+1] {
			if end.Sub(at) <= limitWindow && at.After(n.since.Add(inContact/6)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most, limitRatio*limitWindow.Seconds()*n.perSecond + limitSlack
}

func (n *named) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.arrivals)
}

// load sends harmless requests at a rate, the first part of them to the first edge and the
// others to all in turn, until ended.
func (q *quartet) load(perSecond int, toFirst float64, ended <-chan struct{}) (*tally, func()) {
	t, all := &tally{}, &sync.WaitGroup{}
	all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			edge := q.edges[i%len(q.edges)]
			if float64(i%100) < 100*toFirst {
				edge = q.edges[0]
			}
			all.Go(func() {
				status, _ := edge.post("/a/x", "k", fmt.Sprint("load ", i))
				t.note(status)
			})
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
		}
	})
	return t, all.Wait
}

// Guards against an upstream in need that gets more than it says that it takes, from all
// instances together, while others have room; and against one that is left alone for good.
func TestLimitThatAnUpstreamNamesIsKept(t *testing.T) {
	for name, part := range map[string]float64{"even": 0, "one instance": 1} {
		t.Run(name, func(t *testing.T) {
			q := newQuartet(t)
			limits := q.upstreams.limits()
			ended := make(chan struct{})
			answers, wait := q.load(40, part, ended)
			time.Sleep(2 * time.Second)
			limits[0].set(4)
			limits[1].set(1)
			limits[2].set(0.3)
			time.Sleep(9 * time.Second)
			for _, l := range limits[:3] {
				most, allowed := l.worst()
				t.Logf("a limit of %v: %d requests in the worst %v, allowed %v; %d in all", l.perSecond, most, limitWindow, allowed, l.count())
				Expect(float64(most)).To(BeNumerically("<=", allowed))
			}
			limits[0].set(0)
			time.Sleep(3 * time.Second)
			Expect(limits[0].count()).To(BeNumerically(">", 6), "it is used again once it names none")
			close(ended)
			wait()
			Expect(answers.served.Load()).To(Equal(answers.all.Load()), "others have room")
		})
	}
}

// Guards against upstreams that are left idle, or overrun, while callers wait for them: all of
// them name a limit, and more is asked.
func TestLimitsOfAllUpstreamsAreUsed(t *testing.T) {
	q := newQuartet(t)
	limits := q.upstreams.limits()
	for _, l := range limits {
		l.set(2)
	}
	ended := make(chan struct{})
	answers, wait := q.load(40, 0, ended)
	time.Sleep(12 * time.Second)
	close(ended)
	wait()
	total := 0
	for _, l := range limits {
		most, allowed := l.worst()
		Expect(float64(most)).To(BeNumerically("<=", allowed))
		total += l.count()
	}
	t.Logf("%d requests got to upstreams that take %v in 12 s; %d of %d served", total, 12*2*len(limits), answers.served.Load(), answers.all.Load())
	Expect(total).To(BeNumerically(">=", 12*2*len(limits)*2/3), "most of what they take is used")
	Expect(answers.served.Load()).To(BeNumerically(">=", 12*2*len(limits)*2/3))
}

// limits returns what each upstream names, in the order of their addresses.
func (f *fragile) limits() []*named { return byAddress(f, f.named) }

// byAddress returns what a map holds of the upstreams that run, in the order of their addresses.
func byAddress[T any](f *fragile, all map[string]T) (list []T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(f.current)) {
		list = append(list, all[address])
	}
	return list
}
