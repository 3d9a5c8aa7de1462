package serving

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// sentDigests records the digests that a member sends, by recipient.
type sentDigests map[string][]digest

func (s sentDigests) Send(to, _ string, msg any) error {
	s[to] = append(s[to], msg.(digest))
	return nil
}

func (sentDigests) Handle(string, link.Handler, ...link.ChannelOption) {}

func statusOf(leader raft.MemberID, members int) *consensus.Status {
	st := &consensus.Status{}
	st.ID, st.Leader = 1, leader
	for i := range members {
		st.Members = append(st.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("m", i+1)})
	}
	return st
}

// Thousands of upstreams send heartbeats all the time, and each member told all others of each: with
// the members and the upstreams the messages grew by their product. Only the leader decides who is
// silent.
func TestHeartbeatsAreToldToTheLeaderAlone(t *testing.T) {
	g := NewWithT(t)
	sent := sentDigests{}
	s := New(Config{Links: sent})
	s.missedDigestsAt = clock.Now().Add(-time.Hour)
	s.recordHeartbeat("u1")
	s.sendDigest(statusOf(0, 5))
	g.Expect(sent).To(BeEmpty(), "without a leader nobody is told")
	s.sendDigest(statusOf(3, 5))
	g.Expect(sent).To(HaveLen(1))
	g.Expect(sent["m3"]).To(Equal([]digest{{Heard: []string{"u1"}}}), "what was heard meanwhile is not lost")
}

// The number of instances divides budgets. All members must know it, one that has just started at
// once, and need not be told each second.
func TestInstancesAreToldNowAndThen(t *testing.T) {
	g := NewWithT(t)
	sent := sentDigests{}
	s := New(Config{Links: sent})
	s.missedDigestsAt = clock.Now().Add(-time.Hour)
	for range 5 {
		s.recordWatcher("edge", "")
		s.sendDigest(statusOf(0, 3))
	}
	g.Expect(sent["m2"]).To(Equal([]digest{{Watchers: []string{"edge"}}}))
	s.starting["m3"] = true
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"]).To(HaveLen(1))
	g.Expect(sent["m3"]).To(HaveLen(2), "a member that has just started gets all of them")
	s.watcherSentAt["edge"] = clock.Now().Add(-watcherInterval)
	s.recordWatcher("edge", "")
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"]).To(HaveLen(2))
	s.missDigests()
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"][2].Starting).To(BeTrue())
}

// Guards against members that order the instances differently, so that several of them take the same
// slots for their own.
func TestMembersAgreeOnTheOrderOfInstances(t *testing.T) {
	g := NewWithT(t)
	sent := sentDigests{}
	s, other := New(Config{Links: sent, Domain: "west", Replica: noReplica}), New(Config{Links: sentDigests{}, Replica: noReplica})
	s.missedDigestsAt = clock.Now().Add(-time.Hour)
	s.recordWatcher("a", "west")
	s.recordWatcher("b", "east")
	s.recordWatcher("c", "")
	s.sendDigest(statusOf(0, 2))
	d := sent["m2"][0]
	g.Expect(d.Domains).To(Equal(map[string]string{"b": "east"}), "others are where the member is")
	for _, name := range d.Watchers {
		other.ranks.set(name, cmp.Or(d.Domains[name], "west"))
	}
	for rank, name := range []string{"b", "a", "c"} {
		g.Expect(s.rank(name)).To(Equal(rank + 1))
		g.Expect(other.rank(name)).To(Equal(rank + 1))
	}
	s.watchers["b"] = clock.Now().Add(-time.Hour)
	s.forgetWatchers()
	g.Expect(s.rank("a")).To(Equal(1))
	g.Expect(s.rank("b")).To(BeZero())
}

func noReplica() *consensus.Service { return nil }

// Guards against responses that grow by the rank: what an instance has of the members is left out.
func TestRankTakesNoBytes(t *testing.T) {
	g := NewWithT(t)
	before := WatchResponse{Domain: "west", MembersSum: 1 << 60, Forwarders: 88}
	after := before
	after.Rank = 88
	after.omitMembers(1 << 60)
	q := WatchRequest{MembersSum: 1 << 60}
	asking := q
	asking.WantsRank, asking.Domain = true, "west"
	length := func(v any) int {
		b, err := link.Encode(v)
		g.Expect(err).NotTo(HaveOccurred())
		return len(b)
	}
	g.Expect(length(&after) + length(&asking)).To(BeNumerically("<=", length(&before)+length(&q)))
	after = before
	after.omitMembers(5)
	g.Expect(after).To(Equal(before), "the instance lacks the list")
}
