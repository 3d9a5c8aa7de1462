package deployed_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// checksFor is for how long checks are counted, mostChecks how many an upstream may get a second from
	// all instances together.
	checksFor, mostChecks = 12 * time.Second, 1
	// checkedLimit is the limit that the upstream names, in requests a second.
	checkedLimit = "1"
)

// Guards against an upstream that asks to be spared and gets more health checks than requests, because all
// others have ended and each failed connect calls for a check.
func TestUpstreamWithALimitGetsFewChecks(t *testing.T) {
	q := newQuartetWithout(t)
	var checks, requests atomic.Int64
	limited := func(out http.ResponseWriter, req *http.Request) {
		if req.URL.Path == healthPath {
			checks.Add(1)
		} else {
			requests.Add(1)
		}
		out.Header().Set("Server-Limit", checkedLimit)
		answerDone(out, req)
	}
	q.handled("limited", limited, q.cores...)
	var others []*runner
	for i := range 5 {
		others = append(others, q.handled(fmt.Sprint("other-", i), answerDone, q.cores...))
	}
	q.awaitReady()
	ended := make(chan struct{})
	_, wait := q.load(40, 0, ended)
	time.Sleep(2 * time.Second)
	for _, r := range others {
		r.crash()
	}
	checks.Store(0)
	requests.Store(0)
	time.Sleep(checksFor)
	close(ended)
	wait()
	t.Logf("%d checks and %d requests in %v", checks.Load(), requests.Load(), checksFor)
	Expect(requests.Load()).To(BeNumerically(">", 0))
	Expect(float64(checks.Load())).To(BeNumerically("<=", mostChecks*checksFor.Seconds()))
}

// answerDone answers a request with success.
func answerDone(out http.ResponseWriter, req *http.Request) {
	out.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	out.Header().Set("Runner-Seal", "s")
	_, _ = io.WriteString(out, "done")
}
