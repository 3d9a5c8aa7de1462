package system_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/instance/daemon"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

// severable is the way of one instance to the upstreams.
type severable struct {
	mu      sync.Mutex
	cut     bool
	conns   []*net.TCPConn
	dialled int
}

func (w *severable) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w.dialled++
	w.conns = append(w.conns, c.(*net.TCPConn))
	return c, nil
}

// set cuts the way, which ends its connections, or heals it.
func (w *severable) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	if !cut {
		return
	}
	for _, c := range w.conns {
		_ = c.CloseRead()
		_ = c.CloseWrite()
	}
	w.conns = nil
}

func (w *severable) dials() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dialled
}

// startHere runs an instance in this process, which reaches upstreams by way of w.
func (in *instance) startHere(w *severable) {
	cfg, err := settings.Load(in.settings)
	Expect(err).NotTo(HaveOccurred())
	d, err := daemon.New(cfg, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	d.Dial = w.dial
	Expect(d.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { _ = d.Kill(context.Background()) })
}

var _ = Describe("An instance that is cut off from all upstreams", func() {
	It("serves its callers through others, blames no upstream, and uses its links again", func() {
		s := newSite(3, "north")
		w := &severable{}
		s.instances["north-1"].start()
		s.instances["north-2"].start()
		s.instances["north-3"].startHere(w)
		cutOff, other := s.instances["north-3"], s.instances["north-2"]
		for _, in := range s.instances {
			Eventually(in.ready, patience, poll).Should(BeTrue(), in.name)
		}
		s.engine("e-1", "north", "--speed", "20")
		s.engine("e-2", "north", "--speed", "20")
		s.service("s-1", "north")
		for _, in := range s.instances {
			Eventually(in.liveUpstreams, patience, poll).Should(Equal(3))
		}
		serves := func(in *instance, name string) {
			GinkgoHelper()
			for i := range 10 {
				r := in.chat("urgent", fmt.Sprint(name, " ", i), 12, true)
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.status).To(Equal(200), r.body)
				Expect(r.whole).To(BeTrue())
				b := in.post("/services/booking/bookings", `{"customer":"c"}`, withKey(fmt.Sprint(name, i)))
				Expect(b.status).To(Equal(201), b.body)
			}
		}
		serves(cutOff, "before")
		w.set(true)
		serves(cutOff, "while it is cut off")
		Expect(cutOff.ready()).To(BeFalse())
		Expect(other.ready()).To(BeTrue())
		serves(other, "meanwhile")
		w.set(false)
		Eventually(cutOff.ready, patience, poll).Should(BeTrue())
		before := w.dials()
		serves(cutOff, "after")
		Expect(w.dials()).To(BeNumerically(">", before), "its own links are used")
	})
})
