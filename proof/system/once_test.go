package system_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

// effects asks a stand-in service how often it ran a key.
func (s *standIn) effects(key string) int {
	resp, err := http.Get("http://" + s.address + "/standin/counters")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var c service.Counts
	Expect(json.NewDecoder(resp.Body).Decode(&c)).To(Succeed())
	return c.ByKey[key]
}

// operation asks the service what became of a key: 202 while it runs.
func (s *standIn) operation(key string) int {
	resp, err := http.Get("http://" + s.address + "/operations/" + key)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode
}

func (in *instance) book(key, content string) *reply {
	return in.post("/services/booking/bookings", fmt.Sprintf(`{"customer":%q}`, content), withKey(key))
}

// comeBack fails unless the answer says that this request was not run, and when to send it
// again: between two leaders of the control group nobody knows what became of a booking.
func (r *reply) comeBack() error {
	if r.err != nil {
		return r.err
	}
	if r.status != http.StatusServiceUnavailable || r.header.Get("X-Not-Run") != "true" || r.header.Get("Retry-After") == "" {
		return fmt.Errorf("answered %d %v %s", r.status, r.header, r.body)
	}
	return nil
}

// learn sends a booking again until its outcome is known, and returns that answer.
func (in *instance) learn(key, content string) (last *reply) {
	GinkgoHelper()
	Eventually(func() bool {
		last = in.book(key, content)
		return last.status == http.StatusConflict || last.comeBack() == nil
	}, patience, poll).Should(BeFalse())
	return last
}

var _ = Describe("A booking that may run at most once", func() {
	var s *site
	var svc *standIn
	var north, south, east *instance

	BeforeEach(func() {
		s = newSite(1, "north", "south", "east")
		s.startAll()
		north, south, east = s.instances["north-1"], s.instances["south-1"], s.instances["east-1"]
		svc = s.service("s-north", "north")
		Eventually(north.liveUpstreams, patience, poll).Should(Equal(1))
	})

	// bookSlowly has north book at a service that takes long, and returns once it runs there.
	// Done is closed when the caller has its answer; another upstream could run it as well.
	bookSlowly := func(key string) (other *standIn, done chan struct{}) {
		other, done = s.service("s-south", "south"), make(chan struct{})
		Eventually(south.liveUpstreams, patience, poll).Should(Equal(1))
		svc.faults(`{"delay_ms":1500}`)
		go func() {
			defer close(done)
			defer GinkgoRecover()
			_ = north.book(key, "4711")
		}()
		Eventually(func() int { return svc.operation(key) }, patience, poll).Should(Equal(202))
		return other, done
	}

	It("gives a resend at the same key the first answer, and refuses other content", func() {
		first := north.book("k1", "4711")
		Expect(first.status).To(Equal(201), first.body)
		again := north.book("k1", "4711")
		Expect(again.status).To(Equal(201))
		Expect(again.body).To(Equal(first.body))
		Expect(north.book("k1", "other").status).To(Equal(422))
		Expect(svc.effects("k1")).To(Equal(1))
	})

	// A technician's booking is answered late; the app sends it again, and the
	// balancer takes each resend to another instance, in other failure domains.
	// All have an upstream of the service, so each could run it once more.
	It("runs once when resends reach several failure domains at the same time", func() {
		others := []*standIn{s.service("s-south", "south"), s.service("s-east", "east")}
		for _, in := range []*instance{south, east} {
			Eventually(in.liveUpstreams, patience, poll).Should(Equal(1))
		}
		svc.faults(`{"delay_ms":300}`)
		var wg sync.WaitGroup
		for range 3 {
			for _, in := range []*instance{north, south, east} {
				wg.Go(func() {
					defer GinkgoRecover()
					r := in.book("k2", "4711")
					Expect(r.err).NotTo(HaveOccurred())
					Expect(r.status).To(BeElementOf(201, 409), r.body)
				})
			}
		}
		wg.Wait()
		sum := svc.effects("k2")
		for _, o := range others {
			sum += o.effects("k2")
		}
		Expect(sum).To(Equal(1))
	})

	// The service books, but its answer is lost with its connection. The caller
	// sends the booking again. The service can be asked by reference, so the
	// resend learns that it ran, and nothing runs twice.
	It("asks the service after a lost answer instead of running again", func() {
		svc.faults(`{"drop_answer":true}`)
		first := north.book("k3", "4711")
		Expect(first.status).NotTo(Equal(503), "it may have run: %s", first.body)
		svc.faults(`{"drop_answer":false}`)
		// 200 is the status of the service's word on the operation.
		Eventually(func() int { return north.book("k3", "4711").status }, patience, poll).Should(Equal(200))
		Expect(svc.effects("k3")).To(Equal(1))
	})

	// The instance dies by SIGKILL between its claim and the receipt, while the
	// service works on the booking. The caller resends at another instance.
	It("never runs again after the claiming instance was killed", func() {
		svc2, done := bookSlowly("k4")
		Expect(south.book("k4", "4711").status).To(Equal(409))
		north.process.kill()
		<-done
		Eventually(func() int { return svc.effects("k4") }, patience, poll).Should(Equal(1))
		last := south.learn("k4", "4711")
		Expect(last.status).To(BeElementOf(201, 502), last.body)
		Expect(svc.effects("k4") + svc2.effects("k4")).To(Equal(1))
	})

	// The claiming instance dies, and the two that are left have no leader yet: one of them
	// is frozen. The resend can't learn what became of the booking. It must hear that it was
	// not run itself and when to come back, and get the outcome once there is a leader.
	It("tells a resend to come back while nobody can say what became of the booking", func() {
		svc2, done := bookSlowly("k6")
		east.process.signal(syscall.SIGSTOP)
		north.process.kill()
		<-done
		Expect(south.book("k6", "4711").comeBack()).To(Succeed())
		east.process.signal(syscall.SIGCONT)
		last := south.learn("k6", "4711")
		Expect(last.status).To(BeElementOf(201, 502), last.body)
		Expect(svc.effects("k6") + svc2.effects("k6")).To(Equal(1))
	})

	// Two of three instances with disks are frozen: the third cannot claim. It
	// must say "not run" at once, with Retry-After, and that must be true.
	It("says not run when it cannot claim, and nothing ran", func() {
		south.process.signal(syscall.SIGSTOP)
		east.process.signal(syscall.SIGSTOP)
		var r *reply
		Eventually(func() int {
			r = north.book("k5", "4711")
			return r.status
		}, patience, poll).Should(Equal(503))
		Expect(r.header.Get("X-Not-Run")).To(Equal("true"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(svc.effects("k5")).To(Equal(0))
		south.process.signal(syscall.SIGCONT)
		east.process.signal(syscall.SIGCONT)
		Eventually(func() int { return north.book("k5", "4711").status }, patience, poll).Should(Equal(201))
		Expect(svc.effects("k5")).To(Equal(1))
	})
})
