package system_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

var _ = Describe("A booking whose processes freeze or die", func() {
	var s *site
	var north, south *instance

	BeforeEach(func() {
		s = newSiteWith(siteOptions{timeout: "2s", settings: "[upstream]\nconnect_timeout = 30s\nfirst_byte_timeout = 2s\n"}, 1, "north", "south", "east")
		s.startAll()
		north, south = s.instances["north-1"], s.instances["south-1"]
	})

	// The service freezes while it works on a booking, and goes on later. The
	// caller is told that the outcome is unknown and sends again. The instance
	// that can reach the service asks it and gets the one booking that was made;
	// after that every instance knows it.
	It("runs once when the service freezes in the middle and goes on", func() {
		svc := s.service("s-north", "north")
		other := s.service("s-south", "south")
		s.see("north", 1)
		s.see("south", 1)
		svc.faults(`{"delay_ms":400}`)
		first := make(chan *reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- north.book("frozen", "4711")
		}()
		Eventually(func() int { return svc.operation("frozen") }, patience, poll).Should(Equal(202))
		svc.signal(syscall.SIGSTOP)
		r := <-first
		Expect(r.status).To(BeElementOf(502, 504), r.body)
		Expect(r.saysNotRun()).To(BeFalse())
		Expect(south.book("frozen", "4711").status).NotTo(Equal(201))
		svc.signal(syscall.SIGCONT)
		for _, in := range []*instance{north, south} {
			Eventually(func() int { return in.book("frozen", "4711").status }, patience, poll).Should(BeElementOf(200, 201))
		}
		Expect(svc.effects("frozen") + other.effects("frozen")).To(Equal(1))
	})

	// The instance freezes after its claim is committed and before the call is
	// sent, for longer than the claim's time. Meanwhile the caller sends again
	// at another instance, which has an upstream of the service too. When the
	// first instance goes on, it holds a claim whose time is over: it must not
	// send, and a resend runs the booking once.
	It("runs once when the instance freezes between claim and send", func() {
		narrow := newNarrow()
		svc := s.service("s-behind", "nowhere")
		s.announce(announce.Heartbeat{Name: "s-north", Domain: "north", Kind: intent.KindService, Service: "booking", Address: narrow.address, Slots: 4})
		s.announce(announce.Heartbeat{Name: "s-south", Domain: "south", Kind: intent.KindService, Service: "booking", Address: svc.address, Slots: 4})
		s.see("north", 1)
		s.see("south", 1)
		first := make(chan *reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- north.book("late", "4711")
		}()
		// The claim is committed when north wants its connection.
		Eventually(narrow.wanted, patience, poll).Should(BeTrue())
		Expect(south.book("late", "4711").status).To(Equal(409))
		north.process.signal(syscall.SIGSTOP)
		narrow.open(svc.address)
		Eventually(func() string { return south.book("late", "4711").code() }, patience, poll).Should(Equal("outcome_unknown"))
		Eventually(narrow.connected, patience).Should(BeClosed())
		north.process.signal(syscall.SIGCONT)
		r := <-first
		Expect(r.status).To(Equal(503), r.body)
		Expect(r.saysNotRun()).To(BeTrue())
		Expect(svc.effects("late")).To(BeZero())
		// The claim is given back, so that a resend runs.
		Eventually(func() int { return south.book("late", "4711").status }, patience, poll).Should(Equal(201))
		Expect(svc.effects("late")).To(Equal(1))
	})

	// SIGTERM, and before the drain is over SIGKILL: the platform lost patience.
	// The booking that was on its way then must not run again at a resend.
	It("runs once when the instance is killed during its drain", func() {
		svc := s.service("s-north", "north")
		other := s.service("s-south", "south")
		s.see("north", 1)
		s.see("south", 1)
		svc.faults(`{"delay_ms":1000}`)
		go func() { _ = north.book("drained", "4711") }()
		Eventually(func() int { return svc.operation("drained") }, patience, poll).Should(Equal(202))
		north.process.signal(syscall.SIGTERM)
		Eventually(func() string { return north.process.out.String() }, patience, poll).Should(ContainSubstring("draining"))
		north.process.kill()
		var last *reply
		Eventually(func() int {
			last = south.book("drained", "4711")
			return last.status
		}, patience, poll).ShouldNot(BeElementOf(409, 503))
		Expect(last.status).To(BeElementOf(200, 201, 502), last.body)
		Expect(svc.effects("drained") + other.effects("drained")).To(Equal(1))
	})
})

// narrow is a listener whose queue is full: a connection to it waits, though the
// process that wants it goes on or is frozen.
type narrow struct {
	address   string
	fd        int
	fill      []net.Conn
	connected chan struct{}
}

func newNarrow() *narrow {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	sa, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	at := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}
	n := &narrow{address: at.String(), fd: fd, connected: make(chan struct{})}
	// With a backlog of 0 one connection is kept waiting.
	c, err := net.Dial("tcp", n.address)
	Expect(err).NotTo(HaveOccurred())
	n.fill = append(n.fill, c)
	DeferCleanup(func() {
		for _, c := range n.fill {
			_ = c.Close()
		}
	})
	return n
}

// wanted reports whether some process waits for a connection to it.
func (n *narrow) wanted() bool {
	const synSent = "02"
	_, port, err := net.SplitHostPort(n.address)
	Expect(err).NotTo(HaveOccurred())
	number, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	table, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	remote := fmt.Sprintf("0100007F:%04X", number)
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 3 && f[2] == remote && f[3] == synSent {
			return true
		}
	}
	return false
}

// open lets connections in and carries them to another address.
func (n *narrow) open(to string) {
	f := os.NewFile(uintptr(n.fd), "narrow")
	ln, err := net.FileListener(f)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Close()).To(Succeed())
	first, err := ln.Accept()
	Expect(err).NotTo(HaveOccurred())
	Expect(first.Close()).To(Succeed())
	DeferCleanup(ln.Close)
	go func() {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			_ = near.Close()
			return
		}
		close(n.connected)
		r := &relay{}
		go r.pipe(1, near, far)
		r.pipe(1, far, near)
	}()
}
