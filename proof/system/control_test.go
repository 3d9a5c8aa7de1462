package system_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// withFloor returns the intent in force with another floor for class bulk.
func (in *instance) withFloor(floor float64) (uint64, *intent.Document) {
	cur, err := in.operator("alice").Intent()
	Expect(err).NotTo(HaveOccurred())
	return cur.Revision, withFloor(cur.Document, floor)
}

func withFloor(of *intent.Document, floor float64) *intent.Document {
	doc := *of
	doc.Classes = append([]intent.Class(nil), doc.Classes...)
	for i := range doc.Classes {
		if doc.Classes[i].Name == "bulk" {
			doc.Classes[i].Floor = floor
		}
	}
	return &doc
}

func (in *instance) floor() float64 {
	cur, err := in.operator("alice").Intent()
	if err != nil {
		return -1
	}
	return cur.Document.Class("bulk").Floor
}

func (in *instance) confirm(who string, number, base uint64, doc *intent.Document) (*admin.Confirmation, error) {
	return in.operator(who).Confirm(&admin.ConfirmRequest{Number: number, Base: base, Document: doc})
}

func (in *instance) status() *admin.Status {
	st, err := in.operator("alice").Status()
	if err != nil {
		return &admin.Status{}
	}
	return st
}

// awaitLeases waits until every instance knows its revision to be the newest.
func (s *site) awaitLeases() {
	GinkgoHelper()
	for _, in := range s.instances {
		Eventually(func() bool { return in.status().LeaseValid }, patience, poll).Should(BeTrue(), in.name)
	}
}

func (s *site) leader() *instance {
	var leader *instance
	Eventually(func() *instance {
		for _, in := range s.instances {
			if name := in.status().Leader; name != "" {
				leader = s.instances[name]
			}
		}
		return leader
	}, patience, poll).ShouldNot(BeNil())
	return leader
}

var domains = []string{"north", "south", "east"}

// shortLease keeps the waits for leases short.
const shortLease = "[control]\nconfiguration_lease = 1s\n"

// newControlSite starts a site whose instances all have their first lease.
func newControlSite(perDomain int) *site {
	s := newSiteWith(siteOptions{settings: shortLease}, perDomain, domains...)
	s.startAll()
	s.awaitLeases()
	return s
}

var _ = Describe("An operator's intent", func() {
	It("is in force at every instance of every failure domain when its confirm returns", func() {
		s := newControlSite(2)
		in := s.instances["south-2"]
		for n := range 5 {
			base, doc := in.withFloor(0.2 + float64(n)/100)
			done, err := in.confirm("alice", uint64(n+1), base, doc)
			Expect(err).NotTo(HaveOccurred())
			Expect(done.Revision).To(Equal(base + 1))
			for _, other := range s.instances {
				floor, lease := other.floor(), other.status().LeaseValid
				Expect(floor).To(Equal(0.2+float64(n)/100), "%s, lease valid afterwards: %v", other.name, lease)
			}
		}
	})

	// Two operators confirm intents with the same number, from the same base, at
	// two instances at once. One wins; the other must learn that it lost and to
	// whom. Both resend, also after every instance was killed and restarted.
	It("has one winner when operators race, also for resends after a restart of all", func() {
		s := newControlSite(1)
		north, south := s.instances["north-1"], s.instances["south-1"]
		base, a := north.withFloor(0.21)
		_, b := north.withFloor(0.22)
		var errA, errB error
		var wg sync.WaitGroup
		wg.Go(func() { _, errA = north.confirm("alice", 7, base, a) })
		wg.Go(func() { _, errB = south.confirm("bob", 7, base, b) })
		wg.Wait()
		Expect((errA == nil) != (errB == nil)).To(BeTrue(), "%v, %v", errA, errB)
		winner, loser, lost, won, lossDoc := "alice", "bob", errB, a, b
		if errA != nil {
			winner, loser, lost, won, lossDoc = "bob", "alice", errA, b, a
		}
		Expect(fault.CodeOf(lost)).To(Equal(fault.Conflict))
		Expect(lost.Error()).To(ContainSubstring(winner))
		for _, in := range s.instances {
			in.process.kill()
		}
		s.startAll()
		again, err := north.confirm(winner, 7, base, won)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Revision).To(Equal(base + 1))
		_, err = south.confirm(loser, 7, base, lossDoc)
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict))
		Expect(err.Error()).To(ContainSubstring(winner))
	})

	It("is refused when its base moved, and the refusal names what moved", func() {
		s := newSite(1, "north")
		s.startAll()
		in := s.instances["north-1"]
		base, first := in.withFloor(0.25)
		_, second := in.withFloor(0.26)
		_, err := in.confirm("alice", 1, base, first)
		Expect(err).NotTo(HaveOccurred())
		_, err = in.confirm("bob", 2, base, second)
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict))
		Expect(err.Error()).To(And(ContainSubstring("alice"), ContainSubstring("class.bulk")))
	})

	// Hundreds of changes are accepted while instances die by SIGKILL in turn, the
	// leader among them. Afterwards all restart, diskless ones too. Nobody may act
	// on an older revision than the last one accepted.
	It("survives hundreds of changes with kills and restarts in between", func() {
		s := newControlSite(2)
		victims := []string{"north-1", "south-2", "east-1", "north-2", "south-1"}
		last := 0.0
		in := s.instances["east-2"]
		for n := range 200 {
			if n%40 == 20 {
				v := s.instances[victims[n/40]]
				v.process.kill()
				v.start()
			}
			last = 0.1 + float64(n)/1000
			Eventually(func() error {
				base, doc := in.withFloor(last)
				_, err := in.confirm("alice", uint64(1000+n), base, doc)
				return err
			}, patience, poll).Should(Succeed())
		}
		for _, x := range s.instances {
			Eventually(x.floor, patience, poll).Should(Equal(last), x.name)
		}
		newest := in.status().Revision
		for _, x := range s.instances {
			x.process.kill()
		}
		alone := s.instances["north-1"]
		alone.start()
		Eventually(alone.floor, patience, poll).Should(Equal(last), "cut off from all others")
		Expect(alone.acted()).To(HaveEach(newest))
		alone.process.kill()
		s.startAll()
		for _, x := range s.instances {
			Expect(x.floor()).To(Equal(last), x.name)
			Expect(x.acted()).To(HaveEach(newest), x.name)
		}
	})

	// The disk of one of three members is lost. The instance comes back empty under
	// its old name, and status says that it is repaired. Right then a second member
	// dies. What was accepted before must still be there, and changes go on.
	It("loses nothing when a second instance dies right after a disk was replaced", func() {
		s := newControlSite(1)
		north, south, east := s.instances["north-1"], s.instances["south-1"], s.instances["east-1"]
		base, doc := north.withFloor(0.3)
		_, err := north.confirm("alice", 1, base, doc)
		Expect(err).NotTo(HaveOccurred())
		victim := south
		victim.process.kill()
		Expect(os.RemoveAll(filepath.Join(s.dir, "data-"+victim.name))).To(Succeed())
		victim.start()
		Eventually(victim.role, patience, poll).Should(BeElementOf("voter", "leader"))
		Eventually(func() int { return s.leader().members(victim.name) }, patience, poll).Should(Equal(1))
		east.process.kill()
		for _, in := range []*instance{north, victim} {
			Eventually(in.floor, patience, poll).Should(Equal(0.3))
		}
		Eventually(func() error {
			base, doc := victim.withFloor(0.31)
			_, err := victim.confirm("alice", 2, base, doc)
			return err
		}, patience, poll).Should(Succeed())
	})

	// A failure domain is cut off in silence while an operator confirms. The
	// confirm waits until the silent domain must know that it is cut off. It goes
	// on serving, says so in its status, and follows as soon as it is back.
	It("waits out a silent domain's lease, and the domain follows when it is back", func() {
		s := newControlSite(1)
		leader := s.leader()
		var cut, other *instance
		for _, in := range s.instances {
			if in != leader {
				cut, other = in, cut
			}
		}
		cut.process.signal(syscall.SIGSTOP)
		base, doc := other.withFloor(0.33)
		var err error
		Eventually(func() error {
			_, err = other.confirm("alice", 1, base, doc)
			return err
		}, patience, poll).Should(Succeed())
		cut.process.signal(syscall.SIGCONT)
		st := cut.status()
		Expect(st.Revision > base || !st.LeaseValid).To(BeTrue(), "acts on the old revision as if it were the newest")
		Eventually(cut.floor, patience, poll).Should(Equal(0.33))
		Eventually(func() bool { return cut.status().LeaseValid }, patience, poll).Should(BeTrue())
	})

	// The control leader freezes in silence; the others elect another one and accept
	// a change. When the old one wakes up it still believes that it leads. It must
	// not pass the old configuration off as the newest, nor accept on its base.
	It("is not undone by a leader that was frozen and wakes up", func() {
		s := newControlSite(1)
		old := s.leader()
		other := s.other(old)
		base, doc := other.withFloor(0.35)
		_, stale := other.withFloor(0.36)
		old.process.signal(syscall.SIGSTOP)
		Eventually(func() error {
			_, err := other.confirm("alice", 1, base, doc)
			return err
		}, patience, poll).Should(Succeed())
		old.process.signal(syscall.SIGCONT)
		Consistently(func() bool {
			st := old.status()
			return st.Revision > base || !st.LeaseValid
		}, "500ms", "1ms").Should(BeTrue(), "acts on the old revision as if it were the newest")
		Eventually(func() fault.Code {
			_, err := old.confirm("bob", 2, base, stale)
			return fault.CodeOf(err)
		}, patience, poll).Should(Equal(fault.Conflict))
		Eventually(old.floor, patience, poll).Should(Equal(0.35))
		Eventually(old.role, patience, poll).Should(Equal("voter"))
	})

	// A change is in force while one member is frozen. Then all others are killed,
	// and an instance without a disk restarts: the only one that answers it is the
	// member that missed the change. Having acted on the new revision, it must
	// rather wait than serve by the old one.
	It("is not forgotten by an instance without a disk that restarts", func() {
		s := newControlSite(2)
		frozen := s.other(s.leader())
		s.instances[frozen.domain+"-2"].process.kill()
		victim := s.instances[s.leader().domain+"-2"]
		frozen.process.signal(syscall.SIGSTOP)
		base, doc := victim.withFloor(0.37)
		Eventually(func() error {
			_, err := victim.confirm("alice", 1, base, doc)
			return err
		}, patience, poll).Should(Succeed())
		Eventually(victim.floor, patience, poll).Should(Equal(0.37))
		for _, in := range s.instances {
			if in != frozen {
				in.process.kill()
			}
		}
		frozen.process.signal(syscall.SIGCONT)
		victim.start()
		Eventually(func() int { return len(frozen.status().Instances) }, patience, poll).Should(BeNumerically(">", 1))
		Consistently(victim.floor, "3s", poll).Should(Or(Equal(-1.0), Equal(0.37)))
		for _, in := range s.voters() {
			if in != frozen {
				in.start()
			}
		}
		Eventually(victim.floor, patience, poll).Should(Equal(0.37))
	})

	// Two of three members are cut off. The third must not accept a confirm, and
	// what it could not accept must not be in force later by surprise.
	It("is not accepted by a minority", func() {
		s := newControlSite(1)
		north := s.instances["north-1"]
		base, doc := north.withFloor(0.4)
		s.instances["south-1"].process.signal(syscall.SIGSTOP)
		s.instances["east-1"].process.signal(syscall.SIGSTOP)
		_, err := north.confirm("alice", 1, base, doc)
		Expect(fault.CodeOf(err)).To(BeElementOf(fault.NotRun, fault.OutcomeUnknown), "%v", err)
		s.instances["south-1"].process.signal(syscall.SIGCONT)
		s.instances["east-1"].process.signal(syscall.SIGCONT)
		Eventually(func() error {
			_, err := north.confirm("alice", 1, base, doc)
			return err
		}, patience, poll).Should(Succeed())
		Expect(north.status().Revision).To(Equal(base + 1))
	})

	// Guards against a stop that cuts off an operator's call under way.
	It("answers a confirm that waits when the instance is told to stop", func() {
		s := newControlSite(1)
		north := s.instances["north-1"]
		base, doc := north.withFloor(0.41)
		s.instances["south-1"].process.signal(syscall.SIGSTOP)
		s.instances["east-1"].process.signal(syscall.SIGSTOP)
		body, err := json.Marshal(admin.ConfirmRequest{Number: 1, Base: base, Document: doc})
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest(http.MethodPost, "http://"+north.operators+admin.PathConfirm, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+s.keys["alice"])
		failed := make(chan error, 1)
		go func() {
			resp, err := httpClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			failed <- err
		}()
		time.Sleep(200 * time.Millisecond)
		north.process.signal(syscall.SIGTERM)
		Eventually(failed, patience).Should(Receive(BeNil()), north.process.out.String)
		Eventually(north.process.done, patience).Should(BeClosed())
	})
})

var inForce = regexp.MustCompile(`revision=(\d+) .*message="revision in force"`)

// acted returns the revisions that the instance acted on since its start.
func (in *instance) acted() (list []uint64) {
	for _, m := range inForce.FindAllStringSubmatch(in.process.out.String(), -1) {
		n, err := strconv.ParseUint(m[1], 10, 64)
		Expect(err).NotTo(HaveOccurred())
		list = append(list, n)
	}
	return list
}

func (in *instance) role() string {
	for _, i := range in.status().Instances {
		if i.Name == in.name {
			return i.Role
		}
	}
	return ""
}

// members counts the control members under a name that a leader knows.
func (in *instance) members(name string) int {
	n := 0
	for _, m := range in.status().Members {
		if strings.HasPrefix(m, name+" ") {
			n++
		}
	}
	return n
}
