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

// start is the log's time at the beginning of a test, in Unix milliseconds.
const start = 1_000_000

func (l *testLog) heartbeat(id string, born int64, sequence uint64, s serving.State) {
	l.apply(serving.Command{Announce: &serving.Upstream{ID: id, Service: "s", Address: "x:1", Slots: 4, StartedAt: born, Sequence: sequence, State: s}})
}

func (l *testLog) leave(id string, born int64) {
	l.apply(serving.Command{Leave: id, LeaveStartedAt: born})
}

// An engine crashes and restarts under the same ID while requests wait for it. The sequence
// of its heartbeats starts at one again. If they were ordered by sequence alone, the engine
// would stay idle until it had sent as many as before the crash.
func TestIncarnationUnderTheSameIDTakesOver(t *testing.T) {
	for name, before := range map[string]func(*testLog){
		"ready":                func(*testLog) {},
		"silent":               func(l *testLog) { l.apply(serving.Command{Silent: []string{"a"}}) },
		"draining":             func(l *testLog) { l.heartbeat("a", start-50, 41, serving.Draining) },
		"left":                 func(l *testLog) { l.leave("a", start-50) },
		"left without a start": func(l *testLog) { l.leave("a", 0) },
		"superseded": func(l *testLog) {
			l.apply(serving.Command{Announce: &serving.Upstream{ID: "b", Service: "s", Address: "x:1", StartedAt: start - 10, Sequence: 1, State: serving.Ready}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLog()
			l.heartbeat("a", start-50, 40, serving.Ready)
			was, _ := l.m.Upstream("a")
			before(l)
			l.heartbeat("a", start+500, 1, serving.Ready)
			u, _ := l.m.Upstream("a")
			g.Expect(u.State).To(Equal(serving.Ready))
			g.Expect(u.Silent).To(BeFalse())
			g.Expect(u.Sequence).To(Equal(uint64(1)))
			g.Expect(u.FirstIndex).NotTo(Equal(was.FirstIndex), "data kept by ID must be recognised as stale")

			l.heartbeat("a", start-50, 99, serving.Draining)
			l.leave("a", start-50)
			g.Expect(l.state("a")).To(Equal(serving.Ready), "messages of the dead incarnation have no effect")
			l.heartbeat("a", start+500, 2, serving.Ready)
			v, _ := l.m.Upstream("a")
			g.Expect(v.FirstIndex).To(Equal(u.FirstIndex))
		})
	}
}

// An upstream leaves without reporting its start, as in older releases, and a heartbeat that
// it sent before arrives afterwards. If that were taken for a new incarnation, the upstream
// would get requests that nobody answers.
func TestLateHeartbeatOfWhatLeftIsNoNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.leave("a", 0)
	l.heartbeat("a", start-700, 3, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Gone))
	l.heartbeat("a", start+1, 1, serving.Ready)
	g.Expect(l.state("a")).To(Equal(serving.Ready), "it started after the leave was recorded")
}

// The state was restored from a snapshot of a release that stored no start. The engine's next
// heartbeat reports it. It is the same incarnation, so its recorded state is kept.
func TestStartIsLearnedOfAKnownIncarnation(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.heartbeat("a", 0, 7, serving.Ready)
	was, _ := l.m.Upstream("a")
	next := serving.Upstream{ID: "a", Service: "s", Address: "x:1", Slots: 4, StartedAt: start - 9000, Sequence: 8, State: serving.Ready}
	g.Expect(serving.ChangesState(&was, &next)).To(BeTrue(), "the start has to be recorded")
	l.heartbeat("a", start-9000, 8, serving.Ready)
	u, _ := l.m.Upstream("a")
	g.Expect(u.FirstIndex).To(Equal(was.FirstIndex))
	l.heartbeat("a", 0, 9, serving.Draining)
	g.Expect(l.state("a")).To(Equal(serving.Draining), "a heartbeat without a start belongs to the known incarnation")
	u, _ = l.m.Upstream("a")
	g.Expect(u.StartedAt).To(Equal(int64(start - 9000)))
}

// An engine crashes behind a partition, another one starts at its address, and a heartbeat
// of the dead one arrives. Because of its later start the live one keeps the address. Without
// starts it would get no requests until its next heartbeat.
func TestDeadIncarnationDoesNotTakeAnAddressBack(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	l.heartbeat("old", start-900, 5, serving.Ready)
	l.heartbeat("new", start+10, 1, serving.Ready)
	l.heartbeat("old", start-900, 6, serving.Ready)
	g.Expect(l.state("new")).To(Equal(serving.Ready))
	g.Expect(l.state("old")).To(Equal(serving.Superseded))
}

// An unrelated process announces itself at an engine's address, under a service that the
// table does not contain. If it took over the address, the engine would get no requests.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	table, _ := control.Marshal(&route.Table{Version: 1, Services: []route.Service{{Name: "s"}}})
	l.apply(serving.Command{Put: &serving.Put{Version: 1, Table: table}})
	snapshot, _ := l.m.Snapshot()
	restored := serving.New()
	g.Expect(restored.Restore(snapshot)).To(Succeed())
	for _, m := range []*serving.Machine{l.m, restored} {
		l := &testLog{m: m, index: l.index, at: l.at}
		l.heartbeat("a", 0, 1, serving.Ready)
		l.apply(serving.Command{Announce: &serving.Upstream{ID: "z", Service: "other", Address: "x:1", Sequence: 1, State: serving.Ready}})
		g.Expect(l.state("a")).To(Equal(serving.Ready))
		g.Expect(l.state("z")).To(Equal(serving.Superseded))
	}
}

// message is a heartbeat, or a leave if its state is Gone, of one incarnation.
type message struct {
	born     int64
	sequence uint64
	state    serving.State
}

// Heartbeats and leaves of three incarnations with one ID arrive in any order, some of them
// twice. The final state must be that of the last incarnation's last message, or Gone if it
// left: in no order may an earlier incarnation become usable again.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []message
		last := message{}
		for life := range int64(3) {
			born := start + 1000*life
			n := rapid.IntRange(1, 4).Draw(t, "beats")
			for i := range n {
				last = message{born, uint64(i + 1), serving.Ready}
				sent = append(sent, last)
			}
			if rapid.Bool().Draw(t, "drains") {
				last = message{born, uint64(n + 1), serving.Draining}
				sent = append(sent, last)
			}
			if rapid.Bool().Draw(t, "leaves") {
				last = message{born, 0, serving.Gone}
				sent = append(sent, last)
			}
		}
		order := rapid.Permutation(slices.Concat(sent, sent[:rapid.IntRange(0, len(sent)).Draw(t, "twice")])).Draw(t, "order")
		l := newLog()
		l.at = time.UnixMilli(start - 1)
		for _, m := range order {
			if m.state == serving.Gone {
				l.leave("a", m.born)
				continue
			}
			l.heartbeat("a", m.born, m.sequence, m.state)
		}
		u, _ := l.m.Upstream("a")
		if u.StartedAt != last.born || u.State != last.state {
			t.Fatalf("last message: %+v; state: %+v", last, u)
		}
	})
}
