package plain_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/plain"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

type input struct {
	key string
	// count reads the number of effects from the service at the end of the history.
	count bool
}

type output struct {
	code    fault.Code // empty: an answer
	answer  string
	effects int
}

// effect is the model's state of one key.
type effect struct {
	ran    bool
	answer string // empty: not observed yet
}

func step(st, in, out any) []any {
	s, o := st.(effect), out.(output)
	switch {
	case in.(input).count:
		if o.effects == 0 && !s.ran || o.effects == 1 && s.ran {
			return []any{s}
		}
		return nil
	case o.code == "":
		if s.answer == "" || s.answer == o.answer {
			return []any{effect{ran: true, answer: o.answer}}
		}
		return nil
	case o.code == fault.OutcomeUnknown || o.code == fault.InProgress:
		if s.ran {
			return []any{s}
		}
		return []any{s, effect{ran: true}}
	}
	return []any{s}
}

// atMostOnce is the checked model: no key has two effects, and all answers for a key are
// those of its only effect.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{effect{}} },
	Step: step,
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range h {
			k := op.Input.(input).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	// notRun holds the IDs of calls that were reported as not run.
	notRun []string
}

func (h *history) add(client int, in input, call time.Time, out output) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call.Sub(h.start).Nanoseconds(),
		Output: out, Return: time.Since(h.start).Nanoseconds()})
}

func (h *history) call(client int, p *plain.Handler, r plain.CallRequest) fault.Code {
	begin := time.Now()
	ctx, done := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer done()
	a, err := p.Call(ctx, r)
	h.add(client, input{key: r.Key}, begin, output{code: fault.CodeOf(err), answer: string(a.Answer.Body)})
	if fault.CodeOf(err) == fault.NotRun {
		h.mu.Lock()
		h.notRun = append(h.notRun, a.RequestID)
		h.mu.Unlock()
	}
	return fault.CodeOf(err)
}

// Callers resend their bookings to any of three instances while answers are lost, the service
// rejects calls or drops connections, instances crash between any two steps, and the ledger
// loses proposals and restarts from snapshots. No booking may have two effects, and no call
// reported as not run may have run.
func TestHistoriesOfResends(t *testing.T) {
	for _, query := range []string{"", "/query?id={key}"} {
		for seed := int64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("query=%q seed=%d", query, seed), func(t *testing.T) { runHistory(t, seed, query) })
		}
	}
}

func runHistory(t *testing.T, seed int64, query string) {
	const keys, clients, sends = 12, 8, 12
	g := NewWithT(t)
	var mu sync.Mutex
	rnd := rand.New(rand.NewSource(seed))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Intn(n)
	}
	behaviours := []behaviour{answers, drops, refuses, dies, delays}
	s := newService(g, func(string) behaviour { return behaviours[random(len(behaviours))] })
	up := upstream.New(upstream.Config{MaxIdle: time.Second})
	l := newLedger(seed)
	var handlers []*plain.Handler
	for range 3 {
		handlers = append(handlers, newHandler(l, up, func() int { return random(8 * crashSteps) }))
	}
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range sends {
				r := bookingRequest(s, fmt.Sprintf("%d-%d", i/3, random(keys/4)))
				r.Service.QueryPath = query
				h.call(c, handlers[random(len(handlers))], r)
				if random(10) == 0 {
					l.advance(8 * time.Second)
				}
			}
		})
	}
	wg.Wait()
	for _, p := range handlers {
		ctx, done := context.WithTimeout(context.Background(), testTimeout)
		g.Expect(p.Drain(ctx)).To(Succeed())
		done()
		p.Stop()
	}
	up.Close(context.Background())
	s.close()
	verify(t, h, s)
}

func verify(t *testing.T, h *history, s *service) {
	t.Helper()
	seen := map[string]bool{}
	codes := map[fault.Code]int{}
	for _, op := range h.ops {
		seen[op.Input.(input).key] = true
		codes[op.Output.(output).code]++
	}
	for k := range seen {
		h.add(1000, input{key: k, count: true}, time.Now(), output{effects: s.effects(k)})
	}
	t.Logf("%d calls on %d keys, by outcome: %v", len(h.ops)-len(seen), len(seen), codes)
	if model := atMostOnce.ToModel(); !porcupine.CheckOperations(model, h.ops) {
		t.Error("the history violates at-most-once")
	}
	for _, id := range h.notRun {
		if s.ran(id) {
			t.Errorf("call %s was reported as not run but ran", id)
		}
	}
}

// A service runs each booking but its first two answers are lost, and callers send up to three
// times. Without claims each resend runs the booking again; with claims it runs once.
func TestLostAnswers(t *testing.T) {
	g := NewWithT(t)
	doubled := map[bool]int{}
	for _, claimed := range []bool{false, true} {
		const keys = 40
		sent := map[string]int{}
		s := newService(g, func(k string) behaviour {
			if sent[k]++; sent[k] <= 2 {
				return drops
			}
			return answers
		})
		up := upstream.New(upstream.Config{})
		p := newHandler(newLedger(0), up, neverCrash)
		for i := range keys {
			r := bookingRequest(s, fmt.Sprint("k", i))
			r.Service.AtMostOnce = claimed
			for range 3 {
				if _, err := p.Call(context.Background(), r); err == nil {
					break
				}
			}
			if s.effects(r.Key) > 1 {
				doubled[claimed]++
			}
		}
		up.Close(context.Background())
		s.close()
	}
	t.Logf("of 40 keys with lost answers, doubled without claims: %d, with claims: %d", doubled[false], doubled[true])
	g.Expect(doubled[true]).To(BeZero())
	g.Expect(doubled[false]).To(Equal(40))
}
