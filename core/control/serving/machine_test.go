package serving_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
)

type testLog struct {
	m     *serving.Machine
	index uint64
	at    time.Time
}

func newLog() *testLog { return &testLog{m: serving.New(), at: time.Unix(1000, 0)} }

func (l *testLog) apply(c serving.Command) {
	b, _ := control.Marshal(&c)
	l.index++
	l.m.Apply(l.index, l.at, b)
}

func (l *testLog) announce(id, address string, sequence uint64, s serving.State) {
	l.apply(serving.Command{Announce: &serving.Upstream{ID: id, Address: address, Sequence: sequence, State: s}})
}

func (l *testLog) state(id string) serving.State {
	u, _ := l.m.Upstream(id)
	return u.State
}

// stateIn returns the state of an upstream in changes, zero if they don't contain it.
func stateIn(c serving.Changes, id string) serving.State {
	for _, u := range c.Upstreams {
		if u.ID == id {
			return u.State
		}
	}
	return 0
}

// Two operators send different content under the same version, and an older change is
// resent after a later one. Only the first content of the highest version may take
// effect; otherwise a read would return something other than what was acknowledged.
func TestOnlyHigherVersionTakesEffect(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.apply(serving.Command{Put: &serving.Put{Version: 5, Source: []byte("a")}})
	l.apply(serving.Command{Put: &serving.Put{Version: 5, Source: []byte("b")}})
	l.apply(serving.Command{Put: &serving.Put{Version: 4, Source: []byte("c")}})
	v, src := l.m.Source()
	g.Expect(v).To(Equal(uint64(5)))
	g.Expect(string(src)).To(Equal("a"))
	g.Expect(l.m.Index()).To(Equal(uint64(1)), "a command without effect must not notify followers")
}

// An upstream drains, and a heartbeat that it sent before arrives afterwards. If it took
// effect, work would be sent to an upstream that is about to exit.
func TestLateHeartbeatDoesNotUndoADrain(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.announce("a", "x:1", 1, serving.Ready)
	l.announce("a", "x:1", 5, serving.Draining)
	l.announce("a", "x:1", 4, serving.Ready)
	l.announce("a", "x:1", 6, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Draining))
	l.apply(serving.Command{Leave: "a"})
	l.announce("a", "x:1", 7, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Gone))
	l.apply(serving.Command{Leave: "b"})
	l.announce("b", "x:2", 1, serving.Ready)
	g.Expect(l.state("b")).To(Equal(serving.Gone), "an announcement that arrives after the leave must not undo it")
}

// An upstream becomes silent, and then a delayed heartbeat arrives. It does not describe the
// present; if it took effect, work would go to an upstream that sends no heartbeats.
func TestLateHeartbeatDoesNotEndASilence(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.announce("a", "x:1", 5, serving.Ready)
	l.apply(serving.Command{Silent: []string{"a"}})
	l.announce("a", "x:1", 4, serving.Ready)
	u, _ := l.m.Upstream("a")
	g.Expect(u.Silent).To(BeTrue())
	l.announce("a", "x:1", 6, serving.Ready)
	u, _ = l.m.Upstream("a")
	g.Expect(u.Silent).To(BeFalse())
}

// An upstream crashes behind a partition and restarts at its address, and then a heartbeat
// of the dead incarnation arrives. The live one must regain the address with its next
// heartbeat.
func TestLiveIncarnationRegainsAddress(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.announce("old", "x:1", 1, serving.Ready)
	l.announce("new", "x:1", 1, serving.Ready)
	g.Expect(l.state("old")).To(Equal(serving.Superseded))
	l.announce("old", "x:1", 9, serving.Ready)
	l.announce("new", "x:1", 2, serving.Ready)
	g.Expect(l.state("new")).To(Equal(serving.Ready))
	g.Expect(l.state("old")).To(Equal(serving.Superseded))
}

func TestSinceReturnsChanges(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.announce("a", "x:1", 1, serving.Ready)
	l.apply(serving.Command{Put: &serving.Put{Version: 1, Table: []byte("t")}})
	c := l.m.Since(0)
	g.Expect(c.Full).To(BeTrue())
	g.Expect(string(c.Table)).To(Equal("t"))
	g.Expect(c.Upstreams).To(HaveLen(1))
	l.announce("b", "x:2", 1, serving.Ready)
	c = l.m.Since(c.Index)
	g.Expect(c.Full).To(BeFalse())
	g.Expect(c.Table).To(BeNil())
	g.Expect(c.Upstreams).To(HaveLen(1))
	g.Expect(c.Upstreams[0].ID).To(Equal("b"))

	l.apply(serving.Command{Silent: []string{"a"}})
	at := l.m.Index()
	l.at = l.at.Add(time.Hour)
	l.announce("b", "x:2", 2, serving.Draining)
	c = l.m.Since(at)
	g.Expect(c.Full).To(BeFalse(), "dropping one old upstream must not cost every follower the whole state")
	g.Expect(stateIn(c, "a")).To(Equal(serving.Gone), "followers must drop the dropped upstream too")
	_, known := l.m.Upstream("a")
	g.Expect(known).To(BeFalse())
}

func TestSnapshotHoldsTheWholeState(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.announce("a", "x:1", 1, serving.Ready)
	l.apply(serving.Command{Put: &serving.Put{Version: 3, Table: []byte("t"), Source: []byte("s")}})
	b, err := l.m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	m := serving.New()
	g.Expect(m.Restore(b)).To(Succeed())
	g.Expect(m.Since(0)).To(Equal(l.m.Since(0)))
	again, _ := m.Snapshot()
	g.Expect(again).To(Equal(b))
}
