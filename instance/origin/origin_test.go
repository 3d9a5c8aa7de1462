package origin_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/origin"
)

// members is a fake control group.
type members struct {
	mu     sync.Mutex
	down   map[string]bool
	told   map[string][]core.Key
	answer origin.FindResponse
	// runs counts the runs of each member.
	runs map[string]uint64
}

func (m *members) Call(_ context.Context, to, _ string, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down[to] {
		return fault.New(fault.Unavailable, "down")
	}
	switch q := req.(type) {
	case *origin.Begun:
		for _, group := range q.Groups {
			m.told[to] = append(m.told[to], group.Streams...)
		}
		resp.(*origin.BegunResponse).Incarnation = 1 + m.runs[to]
	default:
		*resp.(*origin.FindResponse) = m.answer
	}
	return nil
}

// restart lets a member forget what it was told.
func (m *members) restart(member string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[member]++
	m.told[member], m.down[member] = nil, down
}

func (m *members) toldTo(member string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.told[member])
}

func newMembers() *members {
	return &members{told: map[string][]core.Key{}, down: map[string]bool{}, runs: map[string]uint64{}}
}

func recorder(t *testing.T, m *members) *origin.Recorder {
	RegisterTestingT(t)
	r := origin.NewRecorder(origin.RecorderConfig{Links: m, Log: eventlog.New(io.Discard, nil), Members: func() []string { return []string{"m0", "m1", "m2"} }})
	Expect(r.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

var at = core.Origin{Service: "s", Software: "v1"}

// Guards against origins that end with the instance, or with the one member that was told.
func TestStreamsAreToldToTwoMembers(t *testing.T) {
	m := newMembers()
	r := recorder(t, m)
	r.Began([]byte("a"), at, true)
	Eventually(func() int { return m.toldTo("m0") }).WithTimeout(200 * time.Millisecond).Should(Equal(1))
	Eventually(func() int { return m.toldTo("m1") }).WithTimeout(200 * time.Millisecond).Should(Equal(1))
	Expect(m.toldTo("m2")).To(BeZero())
	r.Began([]byte("b"), at, false)
	Eventually(func() int { return m.toldTo("m1") }).Should(Equal(2))
}

// Guards against streams that nobody but their instance knows of: a member has restarted, or was down when
// they began.
func TestRestartedMemberIsToldAgain(t *testing.T) {
	m := newMembers()
	r := recorder(t, m)
	for i := range 20 {
		r.Began([]byte{byte(i)}, core.Origin{Service: "s", Software: fmt.Sprint("v", i%3)}, true)
	}
	Eventually(func() int { return m.toldTo("m0") }).Should(Equal(20))
	Eventually(func() int { return m.toldTo("m1") }).Should(Equal(20))
	m.restart("m0", false)
	Eventually(func() int { return m.toldTo("m0") }).WithTimeout(3 * time.Second).Should(Equal(20))
	m.restart("m1", true)
	r.Began([]byte("later"), at, true)
	Eventually(func() int { return m.toldTo("m0") }).Should(Equal(21))
	m.restart("m1", false)
	Eventually(func() int { return m.toldTo("m1") }).WithTimeout(3 * time.Second).Should(Equal(21))
	Expect(m.toldTo("m2")).To(BeZero())
}

// Guards against a message to a member that grows with the number of streams.
func TestManyStreamsAreToldInParts(t *testing.T) {
	m := newMembers()
	r := recorder(t, m)
	const many = 30_000
	for i := range many {
		r.Began(fmt.Append(nil, i), at, false)
	}
	Eventually(func() int { return m.toldTo("m0") }).WithTimeout(5 * time.Second).Should(Equal(many))
	m.restart("m0", false)
	Eventually(func() int { return m.toldTo("m0") }).WithTimeout(5 * time.Second).Should(Equal(many))
}

func TestOriginIsFoundHereOrAtAMember(t *testing.T) {
	m := newMembers()
	r := recorder(t, m)
	r.Began([]byte("own"), at, false)
	Expect(r.Find(context.Background(), []byte("own"), "s")).To(Equal(at))
	_, err := r.Find(context.Background(), []byte("other"), "s")
	Expect(fault.CodeOf(err)).To(Equal(fault.NotFound))
	m.answer = origin.FindResponse{Known: true, Service: "s", Software: "v2"}
	m.down["m0"] = true
	Expect(r.Find(context.Background(), []byte("other"), "s")).To(Equal(core.Origin{Service: "s", Software: "v2"}))
	m.down["m1"], m.down["m2"] = true, true
	_, err = r.Find(context.Background(), []byte("other"), "s")
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
}
