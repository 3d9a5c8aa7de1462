package system_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/admin"
)

var _ = Describe("An operator's repair", func() {
	// The service of a booking dies by SIGKILL while it works on it, so nobody can
	// tell whether it ran. The caller's resends are told just that, until an
	// operator who looked into the service's books says what became of it.
	It("settles an unknown outcome by the operator's word, once", func() {
		s := newControlSite(1)
		north, south := s.instances["north-1"], s.instances["south-1"]
		svc := s.service("s-north", "north")
		Eventually(north.liveUpstreams, patience, poll).Should(Equal(1))
		svc.faults(`{"delay_ms":60000}`)
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			_ = north.book("k1", "4711")
		}()
		Eventually(func() int { return svc.operation("k1") }, patience, poll).Should(Equal(202))
		svc.kill()
		<-done
		op := south.operator("alice")
		var list []admin.UnknownCall
		Eventually(func() ([]admin.UnknownCall, error) {
			var err error
			list, err = op.Unknowns()
			return list, err
		}, patience, poll).Should(HaveLen(1))
		Expect(list[0].Key).To(Equal("k1"))
		word := &admin.Resolution{Organisation: "ward", Service: "booking", Key: "k1", As: claim.Done}
		Expect(op.Resolve(word)).To(Succeed())
		Expect(fault.CodeOf(op.Resolve(word))).To(Equal(fault.Conflict))
		word.Key = "k2"
		Expect(fault.CodeOf(op.Resolve(word))).To(Equal(fault.NotFound))
		left, err := op.Unknowns()
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeEmpty())
		s.service("s-new", "north")
		Eventually(func() int { return north.book("k1", "4711").status }, patience, poll).Should(Equal(200))
	})

	// An instance with a disk is gone for good. Its vote still counts for the
	// quorum, so one more loss would stop all changes. The operator removes it; a
	// slip of the hand that names a live one is refused.
	It("removes a member that won't come back, and no live one", func() {
		s := newControlSite(1)
		leader := s.leader()
		gone := s.other(leader)
		op := leader.operator("alice")
		list, err := op.Members()
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(3))
		var id string
		for _, m := range list {
			if m.Name == gone.name {
				id = m.ID
			}
		}
		_, err = op.RemoveMember(id)
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict))
		gone.process.signal(syscall.SIGKILL)
		Eventually(func() error {
			list, err = op.RemoveMember(id)
			return err
		}, patience, poll).Should(Succeed())
		Expect(list).To(HaveLen(2))
	})
})
