package system_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

var _ = Describe("Every caller's whole own answer", func() {
	const callers = 200

	// all sends from two hundred callers at once, half of them for streams, and
	// each checks its own text.
	all := func(s *site, tokens int) *tally {
		t := newTally()
		list := s.list("north")
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("the question of caller %d", n)
				r := list[n%len(list)].chat([]string{"urgent", "bulk"}[n%2], prompt, tokens, n/2%2 == 0)
				t.add(r.judge(prompt, tokens), r)
			})
		}
		wg.Wait()
		return t
	}

	// One engine sends every other answer to the wrong request, another cuts
	// each connection after five events. Two hundred callers ask at once: each
	// gets its own whole text, or is told that it failed. The causes are an ID
	// that isn't compared, and a cut that is taken for the end.
	It("holds for two hundred callers while engines cross and break answers", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 3, "north")
		s.startAll()
		crossing := s.engine("e-crossing", "north", "--speed", "20", "--slots", "40")
		breaking := s.engine("e-breaking", "north", "--speed", "20", "--slots", "40")
		s.engine("e-good", "north", "--speed", "20", "--slots", "40")
		s.see("north", 3)
		crossing.faults(`{"crossed":0.5}`)
		breaking.faults(`{"break_after":5}`)
		t := all(s, 12)
		Expect(t.of(wrong)).To(BeZero(), "%v", t.bad)
		Expect(t.of(wholeOwn)).To(BeNumerically(">", callers/2), "%v", t.seen)
		Expect(crossing.counters().Requests).NotTo(BeZero())
		Expect(breaking.counters().Resumed).NotTo(BeZero())
	})

	// An engine's connections break again and again, so that no resumption gets
	// to the end. A caller with a stream sees an error event and no end marker;
	// a caller that waits for the whole answer gets it from the other engine.
	It("ends a stream that can't be resumed in an error, and starts a whole answer over", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		bad := s.engine("e-bad", "north", "--speed", "20")
		s.see("north", 1)
		bad.faults(`{"break_after":3}`)
		broken := in.chat("urgent", "cut", 40, true)
		Expect(broken.judge("cut", 40)).To(Equal(toldSo), "%+v", broken)
		Expect(broken.chunks).NotTo(BeZero())
		Expect(broken.code()).To(Equal("stream_broken"))

		s.engine("e-good", "north", "--speed", "20")
		s.see("north", 2)
		for n := range 6 {
			prompt := fmt.Sprintf("start over %d", n)
			r := in.chat("urgent", prompt, 40, false)
			Expect(r.judge(prompt, 40)).To(Equal(wholeOwn), "%d %s", r.status, r.body)
		}
		Expect(in.metric(`wasted_tokens_total{class="urgent",cause="stream_broken"}`)).NotTo(BeEmpty())
	})

	// An engine answers some events and then nothing more, its connections
	// open: once because it hangs, once because its process is frozen. The
	// callers' streams must not hang until the deadline nor end as if they were
	// whole; callers of whole answers get them from the other engine.
	It("holds while an engine falls silent or freezes in the middle of streams", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		silent := s.engine("e-silent", "north", "--speed", "2", "--slots", "8")
		frozen := s.engine("e-frozen", "north", "--speed", "2", "--slots", "8")
		s.see("north", 2)
		const tokens = 60
		t := newTally()
		streams, wholes := newTally(), newTally()
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("caller %d", n)
				r := in.chat("urgent", prompt, tokens, n%2 == 0)
				v := r.judge(prompt, tokens)
				t.add(v, r)
				if n%2 == 0 {
					streams.add(v, r)
				} else {
					wholes.add(v, r)
				}
			})
		}
		begun := func() uint64 { return min(silent.counters().Generated, frozen.counters().Generated) }
		Eventually(begun, patience, poll).Should(BeNumerically(">", 12))
		s.engine("e-good", "north", "--speed", "20")
		s.see("north", 3)
		silent.faults(`{"silent":true}`)
		frozen.signal(syscall.SIGSTOP)
		wg.Wait()
		Expect(t.of(wrong)).To(BeZero(), "%v", t.bad)
		Expect(streams.of(toldSo)).To(Equal(6), "%v", streams.seen)
		Expect(wholes.of(wholeOwn)).To(Equal(6), "%v", wholes.seen)
	})

	// An engine takes each request and closes the connection before it answers
	// anything, as one does that crashes on start. The read fails with the same
	// error as at a whole answer's end; a caller must not get an empty answer.
	It("is no empty one when an engine closes before its header", func() {
		s := newSite(1, "north")
		s.startAll()
		in := s.instances["north-1"]
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_ = c.Close()
			}
		}()
		s.announce(announce.Heartbeat{Name: "e-closes", Domain: "north", Kind: intent.KindEngine, Address: ln.Addr().String(), Models: []string{"m"}, Slots: 4})
		s.see("north", 1)
		for _, stream := range []bool{true, false} {
			r := in.chat("urgent", "closed", 8, stream)
			Expect(r.judge("closed", 8)).To(Equal(toldSo), "%+v", r)
			Expect(r.saysNotRun()).To(BeFalse())
		}
	})

	// A report takes longer than the time in which a caller must take what is
	// written to it. The caller reads all the while, so nothing may cut it.
	It("lets a stream run longer than the write timeout", func() {
		s := newSiteWith(siteOptions{settings: quickLimits + "[limits]\nwrite_timeout = 1s\n"}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		s.engine("e-slow", "north")
		s.see("north", 1)
		r := in.chat("bulk", "a long report", 100, true)
		Expect(r.judge("a long report", 100)).To(Equal(wholeOwn), "%+v", r)
	})
})
