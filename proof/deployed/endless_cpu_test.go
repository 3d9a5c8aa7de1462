package deployed_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// cpuRequests are sent in cpuSpan, plain ones and streams in turn.
	cpuRequests, cpuSpan = 470, 5 * time.Second
	// mostCPUFactor and mostCPUMore bound the processor time with endless answers, in multiples of that of
	// normal operation and beside that. The faults took 7 and 12 times as much. mostCPUEach is allowed for each
	// answer beside that if all upstreams send them: an event is read up to 2 MiB, at 5 ns a byte.
	mostCPUFactor, mostCPUMore, mostCPUEach = 2, 500 * time.Millisecond, 10 * time.Millisecond
)

func (e *endlessSite) edgesCPU() (sum time.Duration) {
	for _, n := range e.edges {
		sum += n.cpuTime()
	}
	return sum
}

// putPlainAndStreams puts a configuration with a route of plain requests and one of streams.
func (e *endlessSite) putPlainAndStreams(version int) int {
	stream := `{"name":"t","host":"h.example","path-prefix":"/a/stream/","route-type":"streaming","resumable":true,"target-gap-ms":1000,"timeout-ms":5000,
"target-latency-ms":300,"priority":0,"service":"s","max-attempts":2},`
	table := strings.Replace(desired(version, "k"), `"routes":[`, `"routes":[`+stream, 1)
	status, _ := call("PUT", "http://"+e.cores[0].at(portControl)+"/config", table)
	return status
}

// cpuDuring returns the processor time of the edges while some upstreams send what has no end, and the number of
// these answers.
func (e *endlessSite) cpuDuring(t *testing.T, how endless, sick int) (used time.Duration, begun int) {
	for _, u := range e.ups[:sick] {
		u.how.Store(how)
	}
	streams := &streamer{streams: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var all sync.WaitGroup
	var served atomic.Int64
	var told sync.Map
	before, start := e.edgesCPU(), time.Now()
	for i := range cpuRequests {
		all.Go(func() {
			status, text := e.askEither(streams, i)
			if status == http.StatusOK {
				served.Add(1)
				return
			}
			n, _ := told.LoadOrStore(fmt.Sprintf("%d %.80s", status, text), &atomic.Int64{})
			n.(*atomic.Int64).Add(1)
		})
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * cpuSpan / cpuRequests)))
	}
	used = e.edgesCPU() - before
	all.Wait()
	e.g.Eventually(e.open.now, patience, poll).Should(BeZero(), "what is under way would count as that of the next answers")
	longest, most := time.Duration(0), int64(0)
	for _, u := range e.ups {
		n, span, bytes := u.take()
		begun, longest, most = begun+n, max(longest, span), max(most, bytes)
		u.how.Store(endlessNone)
	}
	told.Range(func(text, n any) bool {
		t.Logf("%s, from %d: %d times %s", how, sick, n.(*atomic.Int64).Load(), text)
		return true
	})
	t.Logf("%s, from %d: %v of CPU time, %d of %d served, %d begun, longest %v, most bytes %d, hung %t", how, sick, used, served.Load(), cpuRequests, begun, longest, most, e.watch.hung(start.Add(-hangSpan), time.Now()))
	return used, begun
}

// askEither sends a plain request or reads a stream, and returns the status; of a stream that is not whole zero.
func (e *endlessSite) askEither(streams *streamer, i int) (status int, text string) {
	edge := e.edges[i/2%len(e.edges)]
	if i%2 == 0 {
		id := fmt.Sprintf("cpu%d", attempts.Add(1))
		return call(http.MethodPost, "http://"+edge.at(portFrontend)+"/a/x", "x", "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "1500")
	}
	one := &taken{last: -1, path: "/a/stream/"}
	streams.take(one, edge)
	if !one.whole {
		return 0, fmt.Sprintf("stream, status %d", one.status)
	}
	return one.status, ""
}

// Guards against bytes without end that take the processor time of the instances that read them.
func TestEndlessAnswersTakeLittleProcessorTime(t *testing.T) {
	e := newEndlessGroup(t, 2, 4, false)
	e.within(patience, func() bool { return e.putPlainAndStreams(2) == 200 }, "the routes")
	time.Sleep(time.Second)
	e.cpuDuring(t, endlessNone, 0)
	calm, _ := e.cpuDuring(t, endlessNone, 0)
	for _, how := range []endless{floodedTrailers, endlessInterim, endlessEvent, drippedEvent} {
		used, _ := e.cpuDuring(t, how, 1)
		e.g.Expect(used).To(BeNumerically("<", mostCPUFactor*calm+mostCPUMore), string(how))
		e.awaitBudget()
	}
	used, begun := e.cpuDuring(t, endlessEvent, len(e.ups))
	e.g.Expect(used).To(BeNumerically("<", mostCPUFactor*calm+mostCPUMore+time.Duration(begun)*mostCPUEach), "from all")
}
