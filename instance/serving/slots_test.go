package serving

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// granting returns a member, alone in its group, that grants the slots of a service "s" and is followed by
// the given number of instances.
func granting(upstreams, instances int) *Service {
	s := New(Config{Links: noLinks{}})
	var list []balance.Grantable
	for i := range upstreams {
		list = append(list, balance.Grantable{ID: fmt.Sprint("u", i), FirstIndex: uint64(i + 1), Slots: 4})
	}
	s.slots.granters = map[uint32]*granter{ServiceHash("s"): {Granter: balance.NewGranter(balance.Share{Count: 1}, list)}}
	s.slots.members = 1
	for i := range instances {
		s.recordWatcher(fmt.Sprint("e", i), "")
		s.recordReport(fmt.Sprint("e", i), &Report{Sequence: 1})
	}
	return s
}

// afterDelay is when a member grants whose first report has just come.
func afterDelay() time.Time { return clock.Now().Add(grantDelay) }

// load returns the load of an instance at an upstream as the member knows it.
func (s *Service) load(instance string, at uint64) int {
	for _, l := range s.loads.watchers[instance].work.Loads {
		if l.FirstIndex == at {
			return l.Active
		}
	}
	return 0
}

// Guards against a slot that is granted twice because the instance has not told of its request yet, and
// against a grant that counts for ever although its instance did not use it, or never got it.
func TestGrantCountsUntilTheNextUpdateOrReport(t *testing.T) {
	g := NewWithT(t)
	s, q := granting(2, 1), SlotRequest{Service: ServiceHash("s"), HoldMS: 40}
	now := afterDelay()
	granted := map[uint64]int{}
	for range 8 {
		granted[s.grantSlot(now, "e0", &q)]++
	}
	g.Expect(granted).To(Equal(map[uint64]int{1: 4, 2: 4}))
	g.Expect(s.load("e0", 1)).To(Equal(4))

	r := s.loads.watchers["e0"]
	update := LoadUpdate{Sequence: 2, Loads: []Load{{FirstIndex: 1, Active: 3}}}
	update.apply(&r, now)
	s.loads.watchers["e0"] = r
	g.Expect(s.load("e0", 1)).To(Equal(3))
	g.Expect(s.load("e0", 2)).To(Equal(4), "the update does not tell of it")
	g.Expect(s.grantSlot(now.Add(time.Second/10), "e0", &q)).To(Equal(uint64(1)), "the only free slot")

	s.recordReport("e0", &Report{Sequence: 3})
	g.Expect(s.load("e0", 1)+s.load("e0", 2)).To(BeZero(), "a lost grant ends with the next report")
}

// Guards against grants by a member that does not know what its followers have in flight: after its start, after
// a suspension, and for an instance that does not follow it or has been silent.
func TestNothingIsGrantedWithoutLoads(t *testing.T) {
	g := NewWithT(t)
	s, q := granting(4, 1), SlotRequest{Service: ServiceHash("s"), HoldMS: 40}
	begun := clock.Now()
	g.Expect(s.grantSlot(begun, "e0", &q)).To(BeZero(), "other followers have not reported yet")
	g.Expect(s.grantSlot(begun.Add(grantDelay+time.Millisecond), "e0", &q)).NotTo(BeZero())
	g.Expect(s.grantSlot(begun.Add(grantDelay+time.Millisecond), "stranger", &q)).To(BeZero())
	g.Expect(s.grantSlot(begun.Add(maxLoadAge+time.Second), "e0", &q)).To(BeZero(), "its loads are too old")
	s.slots.heard(begun.Add(10 * time.Second))
	g.Expect(s.slots.since).To(Equal(begun.Add(10*time.Second)), "the process was suspended")
	q.Service++
	g.Expect(s.grantSlot(begun.Add(grantDelay+time.Millisecond), "e0", &q)).To(BeZero(), "an unknown service")
}

// Guards against members that disagree on their ranks, and against upstreams of two services with one hash, or
// such that are not ready, in one list.
func TestMembersAgreeOnShares(t *testing.T) {
	g := NewWithT(t)
	members := raft.Members{{ID: 5, Name: "a", Domain: "z"}, {ID: 9, Name: "c", Domain: "x"}, {ID: 7, Name: "b", Domain: "x"}}
	g.Expect(memberShare(members, 7)).To(Equal(balance.Share{Rank: 0, Count: 3}))
	g.Expect(memberShare(members, 9)).To(Equal(balance.Share{Rank: 1, Count: 3}))
	g.Expect(memberShare(members, 5)).To(Equal(balance.Share{Rank: 2, Count: 3}))
	lists := grantables(func(f func(*serving.Upstream)) {
		for i, state := range []serving.State{serving.Ready, serving.Draining, serving.Ready, serving.Superseded} {
			f(&serving.Upstream{ID: fmt.Sprint(i), Service: "s", State: state, Slots: i, FirstIndex: uint64(i), Silent: i == 2})
		}
		f(&serving.Upstream{ID: "t", Service: "t", State: serving.Ready, FirstIndex: 9})
	})
	g.Expect(lists[ServiceHash("s")]).To(Equal([]balance.Grantable{{ID: "0", Slots: 1}, {ID: "2", Slots: 2, FirstIndex: 2, Suspect: true}}))
	g.Expect(lists[ServiceHash("t")]).To(HaveLen(1))
}

// BenchmarkGrantSlot measures a grant on a member that a number of instances follow, each with a request in
// flight, with another member's report of as many.
func BenchmarkGrantSlot(b *testing.B) {
	for _, upstreams := range []int{24, 100, 256} {
		for _, instances := range []int{125, 1000} {
			b.Run(fmt.Sprintf("%d/%d", upstreams, instances), func(b *testing.B) {
				s, q := granting(upstreams, instances), SlotRequest{Service: ServiceHash("s"), HoldMS: 40}
				fill := func() {
					now := clock.Now()
					for i := range instances {
						s.loads.watchers[fmt.Sprint("e", i)] = loadReport{at: now, work: Work{Loads: []Load{{FirstIndex: uint64(i%upstreams + 1), Active: 1}}}}
					}
					s.loads.members["m"] = s.loads.watchers["e0"]
				}
				s.slots.since = clock.Now().Add(-grantDelay)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					if i%10_000 == 0 {
						b.StopTimer()
						fill()
						b.StartTimer()
					}
					i++
					if s.grantSlot(clock.Now(), "e1", &q) == 0 {
						b.Fatal("nothing granted")
					}
				}
			})
		}
	}
}
