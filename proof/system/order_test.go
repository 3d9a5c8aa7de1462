package system_test

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// orderState asks a stand-in engine what orders made of it.
func orderState(address string) engine.OrderState {
	var st engine.OrderState
	resp, err := http.Get("http://" + address + "/v1/orders")
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

func (s *standIn) holds(models ...string) func() bool {
	return func() bool { return slices.Equal(orderState(s.address).Models, models) }
}

// runner starts a stand-in that holds nothing at its start.
func (s *site) runner(name, domain string, more ...string) *standIn {
	args := append([]string{"standin", "engine", "--name", name, "--domain", domain, "--credential", s.keys["engine"]}, s.announceArgs(domain)...)
	return newStandIn(launch(name, "comfreyladder", append(args, more...)...))
}

// checking makes the intent's engines such as check the fencing number, or not.
func (s *site) checking(checks bool) {
	if checks {
		s.intent = strings.Replace(s.intent, "kind = engine\n", "kind = engine\nchecks_fence = true\n", 1)
	}
	s.write("intent.ini", s.intent)
}

// change confirms an intent in which f changed the one in force.
func (in *instance) change(number uint64, f func(d *intent.Document)) {
	Eventually(func() error {
		cur, err := in.operator("alice").Intent()
		if err != nil {
			return err
		}
		doc := *cur.Document
		doc.Models = slices.Clone(doc.Models)
		f(&doc)
		_, err = in.operator("alice").Confirm(&admin.ConfirmRequest{Number: number, Base: cur.Revision, Document: &doc})
		return err
	}, patience, poll).Should(Succeed())
}

func version(v string) func(d *intent.Document) {
	return func(d *intent.Document) { d.Models[0].Version, d.Models[0].SizeMB = v, 100 }
}

func (in *instance) orders() admin.OrdersStatus {
	st, err := in.operator("alice").Status()
	if err != nil {
		return admin.OrdersStatus{}
	}
	return st.Orders
}

// issuer waits until all live instances of the domain name the same issuer and
// it holds the lease, and returns it.
func (s *site) issuer(list ...*instance) (in *instance, fence uint64) {
	Eventually(func() bool {
		name := list[0].orders().Issuer
		for _, x := range list {
			o := x.orders()
			fence = o.Fence
			if o.Issuer != name || o.Fence == 0 {
				return false
			}
		}
		in = s.instances[name]
		return slices.Contains(list, in)
	}, patience, poll).Should(BeTrue())
	return in, fence
}

func others(list []*instance, gone *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(list), func(in *instance) bool { return in == gone })
}

// door leads to an engine and can be shut: a dial to it then takes as long as the
// test wants, since its queue of connections is full.
type door struct {
	address string
	fd      int
	to      string
	shut    atomic.Bool
	fillers []net.Conn
}

func newDoor(to string) *door {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	sa, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	addr := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}
	d := &door{address: addr.String(), fd: fd, to: to}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		d.accept(ended)
	}()
	DeferCleanup(func() {
		close(ended)
		<-done
		_ = syscall.Close(fd)
	})
	return d
}

func (d *door) accept(ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if d.shut.Load() {
			continue
		}
		fd, _, err := syscall.Accept4(d.fd, syscall.SOCK_CLOEXEC)
		if err != nil {
			continue
		}
		file := os.NewFile(uintptr(fd), "accepted")
		near, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			continue
		}
		far, err := net.Dial("tcp", d.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		r := &relay{}
		go r.pipe(1, far, near)
		go r.pipe(1, near, far)
	}
}

// close lets no further dial through; those before it go on.
func (d *door) close() {
	d.shut.Store(true)
	for {
		c, err := net.DialTimeout("tcp", d.address, 300*time.Millisecond)
		if err != nil {
			return
		}
		d.fillers = append(d.fillers, c)
	}
}

func (d *door) open() {
	for _, c := range d.fillers {
		_ = c.Close()
	}
	d.shut.Store(false)
}

var _ = Describe("Orders to engines", func() {
	It("load what an intent asks for, and status shows it at every instance", func() {
		s := newSite(3, "north")
		s.checking(true)
		s.startAll()
		a := s.runner("e-a", "north", "--load-time", "200ms", "--checks-fence")
		b := s.runner("e-b", "north", "--load-time", "200ms", "--checks-fence")
		in := s.instances["north-2"]
		in.change(1, func(d *intent.Document) {
			d.Models[0].Version, d.Models[0].Replicas, d.Models[0].Adapters, d.Models[0].SizeMB = "1", 2, []string{"clinic"}, 100
		})
		Eventually(a.holds("m@1", "m@1:clinic"), patience, poll).Should(BeTrue())
		Eventually(b.holds("m@1", "m@1:clinic"), patience, poll).Should(BeTrue())
		for _, x := range s.list("north") {
			Eventually(func() []admin.ModelStatus { return x.orders().Models }, patience, poll).
				Should(Equal([]admin.ModelStatus{{Name: "m@1", Wanted: 2, Holding: 2, Serving: 2}}), x.name)
		}
		Expect(in.chat("urgent", "hello", 3, false).status).To(Equal(http.StatusOK))
		Expect(a.counters().Loads).To(Equal(uint64(2)))
	})

	// The instance that orders the engines is killed while a change of version is
	// half done. Another one takes over with a greater fencing number, and the
	// change is finished; the engines that hold the new version do not load again.
	It("go on from another instance when the issuer is killed", func() {
		s := newSite(2, "north", "south", "east")
		s.checking(true)
		s.startAll()
		list := s.list("north")
		a := s.engine("e-a", "north", "--load-time", "10s", "--checks-fence")
		b := s.engine("e-b", "north", "--load-time", "10s", "--checks-fence")
		s.instances["south-1"].change(1, func(d *intent.Document) { d.Models[0].Version, d.Models[0].Replicas, d.Models[0].SizeMB = "2", 2, 100 })
		issuer, fence := s.issuer(list...)
		Eventually(func() uint64 { return a.counters().Loads + b.counters().Loads }, patience, poll).Should(Equal(uint64(1)))
		issuer.process.kill()
		successor, next := s.issuer(others(list, issuer)...)
		Expect(successor).NotTo(Equal(issuer))
		Expect(next).To(BeNumerically(">", fence))
		Eventually(a.holds("m@2"), patience, poll).Should(BeTrue())
		Eventually(b.holds("m@2"), patience, poll).Should(BeTrue())
		Expect(a.counters().Loads + b.counters().Loads).To(Equal(uint64(2)))
	})

	// The issuer freezes after it checked its lease and before it sent an order: the
	// dial hangs at that moment. Another instance takes over and orders something
	// newer. The dial is let through and the frozen one goes on. Its order must not
	// take effect, neither at an engine that refuses its number nor at one that
	// ignores it.
	DescribeTable("do not come from an issuer that froze before it sent", func(checks bool) {
		s := newSiteWith(siteOptions{settings: "[upstream]\nconnect_timeout = 60s\n"}, 2, "north", "south", "east")
		s.checking(checks)
		s.startAll()
		list := s.list("north")
		flags := []string{"standin", "engine", "--name", "e-a", "--domain", "north", "--model", "m", "--credential", "none", "--load-time", "10ms"}
		if checks {
			flags = append(flags, "--checks-fence")
		}
		behind := newStandIn(launch("e-a", "comfreyladder", flags...))
		way := newDoor(behind.address)
		s.announce(announce.Heartbeat{Name: "e-a", Domain: "north", Kind: intent.KindEngine, Address: way.address, Models: []string{"m"}, Slots: 4})
		s.see("north", 1)
		var issuer *instance
		Eventually(func() bool {
			o := list[0].orders()
			issuer = s.instances[o.Issuer]
			return len(o.Engines) == 1 && o.Engines[0].Condition == "as wanted"
		}, patience, poll).Should(BeTrue())
		elsewhere := s.instances["south-1"]
		way.close()
		confirmed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(confirmed)
			elsewhere.change(1, version("2"))
		}()
		Eventually(func() string {
			o := issuer.orders()
			if len(o.Engines) != 1 {
				return ""
			}
			return o.Engines[0].Condition
		}, patience, poll).Should(Equal("ordered"))
		issuer.process.signal(syscall.SIGSTOP)
		way.open()
		<-confirmed
		elsewhere.change(2, version("3"))
		Eventually(behind.holds("m@3"), patience, poll).Should(BeTrue())
		successor, fence := s.issuer(others(list, issuer)...)
		Expect(successor).NotTo(Equal(issuer))
		before := orderState(behind.address)
		issuer.process.signal(syscall.SIGCONT)
		Eventually(func() string { return issuer.orders().Issuer }, patience, poll).ShouldNot(BeEmpty())
		Consistently(func() engine.OrderState { return orderState(behind.address) }, time.Second, poll).Should(Equal(before))
		Expect(before.LastFence).To(Equal(fence))
		Expect(behind.counters().OldOrders).To(BeZero())
	}, Entry("at an engine that checks the number", true), Entry("at an engine that ignores the number", false))

	// All engines of a failure domain lose power at once and come back empty. What
	// they are ordered to load stays under the weight store's rate, here one load a
	// second, and in the end each holds its model again.
	It("keep to the weight store's budget when all engines restart at once", func() {
		const engines = 6
		s := newSite(2, "north")
		s.checking(true)
		s.startAll()
		s.list("north")[0].change(1, func(d *intent.Document) {
			d.Models[0].Version, d.Models[0].Replicas, d.Models[0].SizeMB = "1", engines, 1000
			d.Weights = intent.Weights{RateMB: 1000, MaxConcurrentLoads: engines}
		})
		var runners []*standIn
		begin := time.Now()
		start := func() {
			runners = nil
			for i := range engines {
				runners = append(runners, s.runner("e-"+string(rune('a'+i)), "north", "--load-time", "50ms", "--checks-fence"))
			}
		}
		loads := func() (n uint64) {
			for _, r := range runners {
				n += r.counters().Loads
			}
			return n
		}
		settle := func() {
			Eventually(func() uint64 {
				n := loads()
				Expect(n).To(BeNumerically("<=", 1+uint64(time.Since(begin).Seconds())))
				return n
			}, patience, poll).Should(Equal(uint64(engines)))
		}
		start()
		settle()
		for _, r := range runners {
			r.kill()
		}
		begin = time.Now()
		start()
		settle()
		for _, r := range runners {
			Eventually(r.holds("m@1"), patience, poll).Should(BeTrue())
		}
		AddReportEntry("time to load again, in relation to the budget's bound", time.Since(begin).Seconds()/engines)
	})
})
