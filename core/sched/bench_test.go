package sched_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// fullSizeDomain returns one failure domain at its specified size: 76 upstreams, 9
// models, 5 classes and 1,600 organisations, with all slots taken and tickets queued.
func fullSizeDomain(queued int) (*sched.Scheduler, func(n int) sched.Ticket, []string) {
	doc := &intent.Document{}
	for tier := range 5 {
		doc.Classes = append(doc.Classes, intent.Class{Name: fmt.Sprint("c", tier), Tier: tier, Protected: tier == 0, Floor: 0.05})
	}
	for n := range 1600 {
		doc.Organisations = append(doc.Organisations, intent.Organisation{Name: fmt.Sprint("o", n), Weight: 1})
	}
	var ups []sched.Upstream
	for n := range 76 {
		ups = append(ups, sched.Upstream{
			Name: fmt.Sprint("e", n), Address: "127.0.0.1:9", Models: []string{fmt.Sprint("m", n%9)}, Slots: 32,
			Load: &announce.Load{Running: 16}, LoadAt: start.Add(-2 * time.Second),
		})
	}
	rnd := rand.New(rand.NewSource(1))
	s := sched.New(sched.Config{}, rnd)
	s.SetClasses(doc)
	s.SetOrganisations(doc)
	s.SetUpstreams(start, ups)
	newTicket := func(n int) sched.Ticket {
		return sched.Ticket{
			ID: fmt.Sprint("t", n), Instance: "i", Organisation: fmt.Sprint("o", rnd.Intn(1600)),
			Class: fmt.Sprint("c", rnd.Intn(5)), Model: fmt.Sprint("m", rnd.Intn(9)), PromptTokens: 500,
			PrefixHashes: []uint64{rnd.Uint64(), uint64(rnd.Intn(100))}, Arrived: start,
		}
	}
	var inFlight []string
	for n := 0; ; n++ {
		for _, g := range grants(s.Submit(start, newTicket(-n-1))) {
			inFlight = append(inFlight, g.ID)
		}
		total := 0
		for _, c := range s.Status(start).Classes {
			total += c.Queued
		}
		if total >= queued {
			return s, newTicket, inFlight
		}
	}
}

// BenchmarkRequest measures the whole cost of one request: Submit, Started, three calls
// of Progress and Finish, which grants the next queued ticket. A domain of the
// specified size handles 224 requests a second, so multiply by that.
func BenchmarkRequest(b *testing.B) {
	for _, queued := range []int{1, 500, 2000, 4000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s, newTicket, inFlight := fullSizeDomain(queued)
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				now = now.Add(4 * time.Millisecond)
				effects := s.Submit(now, newTicket(n))
				at := n % len(inFlight)
				id := inFlight[at]
				s.Started(now, id)
				for p := range 3 {
					s.Progress(now, id, 64*(p+1))
				}
				effects = append(effects, s.Finish(now, id, sched.Outcome{Tokens: 250, Complete: true})...)
				got := grants(effects)
				for k, g := range got {
					if k == 0 {
						inFlight[at] = g.ID
						continue
					}
					inFlight = append(inFlight, g.ID)
				}
				if len(got) == 0 {
					inFlight = append(inFlight[:at], inFlight[at+1:]...)
				}
			}
		})
	}
}

// BenchmarkTick measures one Tick at the specified size; a scheduler ticks ten times a
// second.
func BenchmarkTick(b *testing.B) {
	s, _, _ := fullSizeDomain(2000)
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
	}
}
