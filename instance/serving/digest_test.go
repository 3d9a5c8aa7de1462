package serving

import (
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
		s.recordWatcher("edge")
		s.sendDigest(statusOf(0, 3))
	}
	g.Expect(sent["m2"]).To(Equal([]digest{{Watchers: []string{"edge"}}}))
	s.starting["m3"] = true
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"]).To(HaveLen(1))
	g.Expect(sent["m3"]).To(HaveLen(2), "a member that has just started gets all of them")
	s.watcherSentAt["edge"] = clock.Now().Add(-watcherInterval)
	s.recordWatcher("edge")
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"]).To(HaveLen(2))
	s.missDigests()
	s.sendDigest(statusOf(0, 3))
	g.Expect(sent["m2"][2].Starting).To(BeTrue())
}
