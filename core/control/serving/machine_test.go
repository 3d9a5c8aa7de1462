package serving_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
)

type log struct {
	m     *serving.Machine
	index uint64
	at    time.Time
}

func newLog() *log { return &log{m: serving.New(), at: time.Unix(1000, 0)} }

func (l *log) apply(c serving.Command) {
	b, _ := control.Marshal(&c)
	l.index++
	l.m.Apply(l.index, l.at, b)
}

func (l *log) announce(id, address string, sequence uint64, s serving.State) {
	l.apply(serving.Command{Announce: &serving.Upstream{ID: id, Address: address, Sequence: sequence, State: s}})
}

func (l *log) state(id string) serving.State {
	u, _ := l.m.Upstream(id)
	return u.State
}

// Two operators send different content under one version, and a change is sent
// again after a later one. Only the first content of the highest version counts,
// else what was acknowledged would be read back as something else.
func TestOnlyAHigherVersionTakesEffect(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.apply(serving.Command{Put: &serving.Put{Version: 5, Source: []byte("a")}})
	l.apply(serving.Command{Put: &serving.Put{Version: 5, Source: []byte("b")}})
	l.apply(serving.Command{Put: &serving.Put{Version: 4, Source: []byte("c")}})
	v, src := l.m.Source()
	g.Expect(v).To(Equal(uint64(5)))
	g.Expect(string(src)).To(Equal("a"))
	g.Expect(l.m.Index()).To(Equal(uint64(1)), "what changes nothing must not wake followers")
}

// An upstream drains, and a heartbeat sent before that arrives afterwards. Were it
// believed, work would go on to an upstream that is about to exit.
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
	g.Expect(l.state("b")).To(Equal(serving.Gone), "a leave outlives the announcement that it overtook")
}

// An upstream falls silent, and a heartbeat that was held up on its way arrives. It says
// nothing about now: believed, work would go to an upstream that nobody hears.
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

// An upstream crashes behind a partition and starts again at its address; then a
// heartbeat of the dead incarnation gets through. The living one must have the
// address again with its next heartbeat.
func TestLivingIncarnationWinsItsAddressBack(t *testing.T) {
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

func TestFollowersGetWhatChanged(t *testing.T) {
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
	g.Expect(l.m.Since(at).Full).To(BeTrue(), "what was dropped must be dropped by followers too")
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
