package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// slotGroup is a control group whose members grant slots as a function tells.
type slotGroup struct {
	*group
	asked atomic.Int64
	grant func(ctx context.Context) (uint64, error)
}

func (g *slotGroup) Call(ctx context.Context, to, channel string, req, resp any) error {
	if channel != servingsvc.ChannelSlots {
		return g.group.Call(ctx, to, channel, req, resp)
	}
	g.asked.Add(1)
	at, err := g.grant(ctx)
	resp.(*servingsvc.SlotGrant).FirstIndex = at
	return err
}

// startGranting starts a follower of member "a" and waits until it knows it.
func startGranting(t *testing.T, grant func(ctx context.Context) (uint64, error)) (*slotGroup, *follow.Follower) {
	g := NewWithT(t)
	grp := &slotGroup{group: &group{members: map[string]*member{}}, grant: grant}
	grp.set("a", answer(1, 1, true, "a"))
	f := startIn(t, grp, "", "a")
	g.Eventually(f.Members).Should(Equal([]string{"a"}))
	return grp, f
}

func unexpected(t *testing.T) func(uint64) {
	return func(at uint64) { t.Errorf("late grant of %d", at) }
}

// Guards against requests that wait longer than a few milliseconds for a member, and against a late grant of
// which the instance does not learn: its slot would count as taken.
func TestLateGrantIsReported(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	_, f := startGranting(t, func(ctx context.Context) (uint64, error) {
		select {
		case <-release:
			return 7, nil
		case <-ctx.Done():
			return 0, fault.New(fault.OutcomeUnknown, "no response")
		}
	})
	late := make(chan uint64, 1)
	at, err := f.RequestSlot(servingsvc.SlotRequest{}, func(at uint64) { late <- at })
	g.Expect(at).To(BeZero())
	g.Expect(fault.CodeOf(err)).To(Equal(fault.DeadlineExceeded))
	close(release)
	g.Eventually(late).Should(Receive(Equal(uint64(7))))
}

// Guards against a request at each choice to a member of an older build, which does not know the channel.
func TestMemberThatDoesNotGrantIsNotAskedAgainSoon(t *testing.T) {
	g := NewWithT(t)
	grp, f := startGranting(t, func(context.Context) (uint64, error) {
		return 0, fault.New(fault.NotRun, "channel has no handler")
	})
	g.Expect(f.SlotsPaused()).To(BeFalse())
	for range 50 {
		_, err := f.RequestSlot(servingsvc.SlotRequest{}, unexpected(t))
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(grp.asked.Load()).To(Equal(int64(1)))
	g.Expect(f.SlotsPaused()).To(BeTrue())
}

// Guards against waits at each choice for a member that does not respond, and against more and more calls to it.
func TestMemberThatDoesNotRespondIsNotAskedAgainSoon(t *testing.T) {
	g := NewWithT(t)
	grp, f := startGranting(t, func(ctx context.Context) (uint64, error) {
		<-ctx.Done()
		return 0, fault.New(fault.OutcomeUnknown, "no response")
	})
	begun := time.Now()
	for range 50 {
		_, err := f.RequestSlot(servingsvc.SlotRequest{}, unexpected(t))
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(grp.asked.Load()).To(Equal(int64(4)))
	g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
}

// Guards against a granted slot that is lost on the way to the request, and against a pause after a response
// without a grant.
func TestGrantInTimeIsReturned(t *testing.T) {
	g := NewWithT(t)
	var n atomic.Uint64
	_, f := startGranting(t, func(context.Context) (uint64, error) { return n.Add(1) % 3, nil })
	for i := range uint64(9) {
		at, err := f.RequestSlot(servingsvc.SlotRequest{}, func(uint64) {})
		if fault.CodeOf(err) == fault.DeadlineExceeded {
			continue // The machine is busy.
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(at).To(Equal((i + 1) % 3))
	}
	g.Expect(f.SlotsPaused()).To(BeFalse())
}
