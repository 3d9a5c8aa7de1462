package serving_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
)

// start is when the log of these tests begins, in Unix milliseconds.
const start = 1_000_000

func (l *log) beat(id string, born int64, sequence uint64, s serving.State) {
	l.apply(serving.Command{Announce: &serving.Upstream{ID: id, Service: "s", Address: "x:1", Slots: 4, StartedAt: born, Sequence: sequence, State: s}})
}

func (l *log) leave(id string, born int64) { l.apply(serving.Command{Leave: id, LeaveStartedAt: born}) }

// An engine crashes and starts again under its ID while requests wait for it. Its
// heartbeats count from one again. Were they ordered by their sequence alone, it would
// stand idle until it had sent as many as before the crash.
func TestIncarnationUnderTheSameIDTakesOver(t *testing.T) {
	for name, before := range map[string]func(*log){
		"ready":                     func(*log) {},
		"silent":                    func(l *log) { l.apply(serving.Command{Silent: []string{"a"}}) },
		"draining":                  func(l *log) { l.beat("a", start-50, 41, serving.Draining) },
		"left":                      func(l *log) { l.leave("a", start-50) },
		"left without saying which": func(l *log) { l.leave("a", 0) },
		"superseded": func(l *log) {
			l.apply(serving.Command{Announce: &serving.Upstream{ID: "b", Service: "s", Address: "x:1", StartedAt: start - 10, Sequence: 1, State: serving.Ready}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLog()
			l.beat("a", start-50, 40, serving.Ready)
			was, _ := l.m.Upstream("a")
			before(l)
			l.beat("a", start+500, 1, serving.Ready)
			u, _ := l.m.Upstream("a")
			g.Expect(u.State).To(Equal(serving.Ready))
			g.Expect(u.Silent).To(BeFalse())
			g.Expect(u.Sequence).To(Equal(uint64(1)))
			g.Expect(u.FirstIndex).NotTo(Equal(was.FirstIndex), "whoever remembers things by the ID must see that they are void")

			l.beat("a", start-50, 99, serving.Draining)
			l.leave("a", start-50)
			g.Expect(l.state("a")).To(Equal(serving.Ready), "what the dead incarnation sent changes nothing")
			l.beat("a", start+500, 2, serving.Ready)
			v, _ := l.m.Upstream("a")
			g.Expect(v.FirstIndex).To(Equal(u.FirstIndex))
		})
	}
}

// An upstream leaves, and a heartbeat that it sent before arrives afterwards. The leave did
// not say which incarnation it was of, as in older releases. Taken for a new incarnation,
// it would get requests that nobody answers.
func TestLateHeartbeatOfWhatLeftIsNoNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.leave("a", 0)
	l.beat("a", start-700, 3, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Gone))
	l.beat("a", start+1, 1, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Ready), "it started after the leave had come")
}

// The state comes from a snapshot of a release that kept no start. The engine's next
// heartbeat tells it: that is the same incarnation, and what is known of it stays.
func TestStartIsLearnedOfAKnownIncarnation(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.beat("a", 0, 7, serving.Ready)
	was, _ := l.m.Upstream("a")
	next := serving.Upstream{ID: "a", Service: "s", Address: "x:1", Slots: 4, StartedAt: start - 9000, Sequence: 8, State: serving.Ready}
	g.Expect(serving.ChangesState(&was, &next)).To(BeTrue(), "the start has to be kept")
	l.beat("a", start-9000, 8, serving.Ready)
	u, _ := l.m.Upstream("a")
	g.Expect(u.FirstIndex).To(Equal(was.FirstIndex))
	l.beat("a", 0, 9, serving.Draining)
	g.Expect(l.state("a")).To(Equal(serving.Draining), "without a start it is of the known incarnation")
	u, _ = l.m.Upstream("a")
	g.Expect(u.StartedAt).To(Equal(int64(start - 9000)))
}

// An engine crashes behind a partition, another one starts at its address, and the dead
// one's heartbeat gets through. By their starts the living one keeps its address: without
// them it would get no requests until its next heartbeat.
func TestDeadIncarnationDoesNotTakeAnAddressBack(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.beat("old", start-900, 5, serving.Ready)
	l.beat("new", start+10, 1, serving.Ready)
	l.beat("old", start-900, 6, serving.Ready)
	g.Expect(l.state("new")).To(Equal(serving.Ready))
	g.Expect(l.state("old")).To(Equal(serving.Superseded))
}

// Somebody else's process announces itself at an engine's address, under a service that
// the table does not name. Were it believed, the engine would lose its requests.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	table, _ := control.Marshal(&route.Table{Version: 1, Services: []route.Service{{Name: "s"}}})
	l.apply(serving.Command{Put: &serving.Put{Version: 1, Table: table}})
	snapshot, _ := l.m.Snapshot()
	restored := serving.New()
	g.Expect(restored.Restore(snapshot)).To(Succeed())
	for _, m := range []*serving.Machine{l.m, restored} {
		l := &log{m: m, index: l.index, at: l.at}
		l.beat("a", 0, 1, serving.Ready)
		l.apply(serving.Command{Announce: &serving.Upstream{ID: "z", Service: "other", Address: "x:1", Sequence: 1, State: serving.Ready}})
		g.Expect(l.state("a")).To(Equal(serving.Ready))
		g.Expect(l.state("z")).To(Equal(serving.Superseded))
	}
}

// message is one thing that an incarnation said.
type message struct {
	born     int64
	sequence uint64
	state    serving.State
}

// Heartbeats and leaves of three incarnations under one ID arrive in any order, some
// twice. In the end the state is what the last incarnation said last, or gone where it
// left: no order brings an earlier one back.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var said []message
		last := message{}
		for life := range int64(3) {
			born := start + 1000*life
			n := rapid.IntRange(1, 4).Draw(t, "beats")
			for i := range n {
				last = message{born, uint64(i + 1), serving.Ready}
				said = append(said, last)
			}
			if rapid.Bool().Draw(t, "drains") {
				last = message{born, uint64(n + 1), serving.Draining}
				said = append(said, last)
			}
			if rapid.Bool().Draw(t, "leaves") {
				last = message{born, 0, serving.Gone}
				said = append(said, last)
			}
		}
		order := rapid.Permutation(slices.Concat(said, said[:rapid.IntRange(0, len(said)).Draw(t, "twice")])).Draw(t, "order")
		l := newLog()
		l.at = time.UnixMilli(start - 1)
		for _, m := range order {
			if m.state == serving.Gone {
				l.leave("a", m.born)
				continue
			}
			l.beat("a", m.born, m.sequence, m.state)
		}
		u, _ := l.m.Upstream("a")
		if u.StartedAt != last.born || u.State != last.state {
			t.Fatalf("said last: %+v; the state: %+v", last, u)
		}
	})
}
