package sched_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// schedulerModel drives a scheduler by random events and tracks what callers would see.
type schedulerModel struct {
	*rapid.T
	s             *sched.Scheduler
	now           time.Time
	ups           []sched.Upstream
	queued        map[string]sched.Ticket
	inFlight      map[string]string
	ended         map[string]bool
	inFlightCount map[string]int
	next          int
	maxQueued     int
}

func newSchedulerModel(t *rapid.T, cfg sched.Config) *schedulerModel {
	w := &schedulerModel{
		T: t, now: start, ups: engines(rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "slots")),
		queued: map[string]sched.Ticket{}, inFlight: map[string]string{}, ended: map[string]bool{}, inFlightCount: map[string]int{},
		maxQueued: cfg.MaxQueued,
	}
	w.s = newScheduler(cfg, w.ups)
	return w
}

var tiers = map[string]int{"review": 0, "question": 1, "status": 2, "draft": 3}

func (w *schedulerModel) submit() {
	class := rapid.SampledFrom([]string{"review", "question", "status", "draft"}).Draw(w.T, "class")
	org := rapid.SampledFrom([]string{"big", "small", "double"}).Draw(w.T, "org")
	t := ticket(fmt.Sprint(w.next), class, org, w.now)
	w.next++
	w.queued[t.ID] = t
	w.apply(w.s.Submit(w.now, t))
}

func (w *schedulerModel) sample(m []string, label string) (string, bool) {
	if len(m) == 0 {
		return "", false
	}
	return m[rapid.IntRange(0, len(m)-1).Draw(w.T, label)], true
}

func (w *schedulerModel) finish() {
	id, ok := w.sample(sortedKeys(w.inFlight), "finish")
	if !ok {
		return
	}
	up := w.inFlight[id]
	delete(w.inFlight, id)
	w.inFlightCount[up]--
	if rapid.Bool().Draw(w.T, "started") {
		w.s.Started(w.now, id)
	}
	o := sched.Outcome{Tokens: rapid.IntRange(0, 2000).Draw(w.T, "tokens")}
	o.Complete = rapid.Bool().Draw(w.T, "complete")
	o.Failed = !o.Complete && rapid.Bool().Draw(w.T, "failed")
	w.apply(w.s.Finish(w.now, id, o))
	w.apply(w.s.Finish(w.now, id, o))
}

func (w *schedulerModel) cancel() {
	id, ok := w.sample(sortedKeys(w.queued), "cancel")
	if !ok {
		return
	}
	delete(w.queued, id)
	w.ended[id] = true
	w.apply(w.s.Cancel(w.now, id))
}

func (w *schedulerModel) tick() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.T, "ms")) * time.Millisecond)
	w.apply(w.s.Tick(w.now))
}

func (w *schedulerModel) report() {
	ups := append([]sched.Upstream(nil), w.ups...)
	for n := range ups {
		ups[n].Draining = rapid.IntRange(0, 9).Draw(w.T, "draining") == 0
		ups[n].Load = &announce.Load{Running: rapid.IntRange(0, 6).Draw(w.T, "running")}
		ups[n].LoadAt = w.now.Add(-2 * time.Second)
	}
	if rapid.IntRange(0, 4).Draw(w.T, "dies") == 0 {
		ups = ups[1:]
	}
	w.apply(w.s.SetUpstreams(w.now, ups))
}

func (w *schedulerModel) apply(effects []sched.Effect) {
	for _, e := range effects {
		id := e.TicketID()
		t, waiting := w.queued[id]
		if !waiting || w.ended[id] {
			w.Fatalf("%T for ticket %s, which is not queued", e, id)
		}
		switch e := e.(type) {
		case sched.Grant:
			w.inFlight[id] = e.Upstream
			w.inFlightCount[e.Upstream]++
			if most := w.ups[0].Slots; w.inFlightCount[e.Upstream] > most {
				w.Fatalf("%d in flight at %s with %d slots", w.inFlightCount[e.Upstream], e.Upstream, most)
			}
		case sched.Shed:
			w.shed(t, e)
		}
		delete(w.queued, id)
		w.ended[id] = true
	}
}

func (w *schedulerModel) shed(t sched.Ticket, e sched.Shed) {
	if e.RetryAfter <= 0 {
		w.Fatalf("shed of ticket %s without a retry hint", t.ID)
	}
	if tiers[t.Class] != 0 {
		return
	}
	switch e.Reason {
	case sched.ReasonDisplaced:
		w.Fatalf("protected %s was displaced", t.ID)
	case sched.ReasonQueueFull:
		for _, other := range w.queued {
			if tiers[other.Class] > 0 {
				w.Fatalf("protected %s shed as the queue is full while %s of %s is queued", t.ID, other.ID, other.Class)
			}
		}
	}
}

// Guards against protected requests being shed while unprotected ones stay queued,
// tickets with two effects or none, and overcommitted slots, under random sequences of
// submits, ends, cancels, upstream deaths and late reports.
func TestEachTicketEndsOnceWithinSlotLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerModel(t, sched.Config{MaxQueued: 12, MaxQueuedPerOrganisation: 5, MaxQueuedPerClass: 8})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"again":  func(*rapid.T) { w.submit() },
			"finish": func(*rapid.T) { w.finish() },
			"cancel": func(*rapid.T) { w.cancel() },
			"tick":   func(*rapid.T) { w.tick() },
			"report": func(*rapid.T) { w.report() },
			"": func(t *rapid.T) {
				if len(w.queued) > w.maxQueued {
					t.Fatalf("%d queued, at most %d are allowed", len(w.queued), w.maxQueued)
				}
			},
		})
		w.drain()
	})
}

// drain ends all work and checks that nothing is left waiting.
func (w *schedulerModel) drain() {
	w.apply(w.s.SetUpstreams(w.now, w.ups))
	for range 2000 {
		if len(w.inFlight) == 0 && len(w.queued) == 0 {
			return
		}
		w.now = w.now.Add(time.Second)
		w.apply(w.s.Tick(w.now))
		for _, id := range sortedKeys(w.inFlight) {
			w.inFlightCount[w.inFlight[id]]--
			delete(w.inFlight, id)
			w.apply(w.s.Finish(w.now, id, sched.Outcome{Tokens: 10, Complete: true}))
		}
	}
	w.Fatalf("%d tickets still queued while all slots are free", len(w.queued))
}

// Guards against starvation of lower tiers. With strict priority and no floor, a
// continuous load of more urgent requests takes each slot that becomes free.
func TestNoClassGetsLessThanItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := document()
		for n := range doc.Classes {
			doc.Classes[n].Deadline = 0
			doc.Classes[n].FirstToken = 0
			doc.Classes[n].Floor = 0
		}
		doc.Classes[2].Floor = rapid.Float64Range(0.05, 0.3).Draw(t, "status")
		doc.Classes[3].Floor = rapid.Float64Range(0.05, 0.3).Draw(t, "draft")
		s := sched.New(sched.Config{}, rand.New(rand.NewSource(1)))
		s.SetClasses(doc)
		s.SetUpstreams(start, engines(2, 4))
		rnd := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		served, total := serveBacklog(s, rnd, 1500)
		for n, c := range doc.Classes[2:] {
			if share := served[c.Name] / total; share < c.Floor*0.8 {
				t.Fatalf("class %d got %.3f of the work, its floor is %.3f", n, share, c.Floor)
			}
		}
		if served["question"] == 0 {
			t.Fatalf("a class without a declared floor starved")
		}
	})
}

// serveBacklog keeps all classes backlogged for the given number of grants and returns
// the work that each class got, in tokens.
func serveBacklog(s *sched.Scheduler, rnd *rand.Rand, rounds int) (served map[string]float64, total float64) {
	served = map[string]float64{}
	class := map[string]string{}
	var inFlight []string
	next, now := 0, start
	take := func(effects []sched.Effect) {
		for _, g := range grants(effects) {
			inFlight = append(inFlight, g.ID)
		}
	}
	submit := func(c string) {
		id := fmt.Sprint(next)
		next++
		class[id] = c
		take(s.Submit(now, ticket(id, c, "big", now)))
	}
	for range 20 {
		for c := range 4 {
			submit([]string{"review", "question", "status", "draft"}[c])
		}
	}
	for range rounds {
		now = now.Add(50 * time.Millisecond)
		at := rnd.Intn(len(inFlight))
		id := inFlight[at]
		inFlight = append(inFlight[:at], inFlight[at+1:]...)
		tokens := 1 + rnd.Intn(400)
		served[class[id]] += float64(tokens)
		total += float64(tokens)
		submit(class[id])
		take(s.Finish(now, id, sched.Outcome{Tokens: tokens, Complete: true}))
	}
	return served, total
}
