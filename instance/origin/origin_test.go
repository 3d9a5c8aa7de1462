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
	// received holds the number of the last message to a member before which none is missing.
	received map[string]uint64
	// sent counts the messages.
	sent int
}

func (m *members) Send(to, _ string, msg any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	if m.down[to] {
		return nil
	}
	b := msg.(*origin.Begun)
	for _, group := range b.Groups {
		m.told[to] = append(m.told[to], group.Streams...)
	}
	if b.First || m.received[to] > 0 && b.Number == m.received[to]+1 {
		m.received[to] = b.Number
	}
	return nil
}

func (m *members) Call(_ context.Context, to, channel string, _, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down[to]:
		return fault.New(fault.Unavailable, "down")
	case channel == origin.ChannelCheck:
		resp.(*origin.CheckResponse).Number = m.received[to]
	default:
		*resp.(*origin.FindResponse) = m.answer
	}
	return nil
}

// set makes a member reachable or not.
func (m *members) set(member string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[member] = down
}

// restart lets a member forget what it was told.
func (m *members) restart(member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told[member], m.received[member] = nil, 0
}

func (m *members) toldTo(member string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.told[member])
}

func newMembers() *members {
	return &members{told: map[string][]core.Key{}, down: map[string]bool{}, received: map[string]uint64{}}
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

// Guards against streams that nobody but their instance knows of: a member has restarted, or messages to it
// were lost.
func TestMemberThatLacksStreamsIsToldAgain(t *testing.T) {
	m := newMembers()
	r := recorder(t, m)
	for i := range 20 {
		r.Began([]byte{byte(i)}, core.Origin{Service: "s", Software: fmt.Sprint("v", i%3)}, true)
	}
	told := func(member string, n int) {
		Eventually(func() int { return m.toldTo(member) }).WithTimeout(4*time.Second).Should(Equal(n), member)
	}
	told("m0", 20)
	told("m1", 20)
	m.restart("m0")
	told("m0", 20)
	m.set("m1", true)
	r.Began([]byte("lost"), at, true)
	told("m0", 21)
	m.set("m1", false)
	told("m1", 20+21)
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
	m.restart("m0")
	Eventually(func() int { return m.toldTo("m0") }).WithTimeout(5 * time.Second).Should(Equal(many))
}

// Guards against messages whose number grows as members get slow: a loaded member would get more of them.
func TestMessagesDoNotDependOnTheMembersSpeed(t *testing.T) {
	m := newMembers()
	m.set("m0", true)
	m.set("m1", true)
	r := recorder(t, m)
	const span = 2 * time.Second
	for i, begun := 0, time.Now(); time.Since(begun) < span; i++ {
		r.Began(fmt.Append(nil, i), at, false)
		time.Sleep(time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	Expect(m.sent).To(BeNumerically("<=", 2*(4*span/time.Second+1)), "four a second to each of two members")
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
