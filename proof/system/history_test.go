package system_test

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// step is what an operator asks: a plan's base, or a confirm on a base.
type step struct {
	confirm bool
	base    uint64
}

// seen is what the operator got.
type seen struct {
	revision uint64
	code     fault.Code
}

// revisions says which histories of plans and confirms are right: one revision
// that grows by one with each accepted confirm on it.
var revisions = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(uint64), input.(step), output.(seen)
		switch {
		case !in.confirm:
			if out.code != "" || out.revision == now {
				return []any{now}
			}
		case out.code == "":
			if now == in.base && out.revision == now+1 {
				return []any{now + 1}
			}
		case out.code == fault.Conflict:
			if now != in.base {
				return []any{now}
			}
		case out.code == fault.NotRun:
			return []any{now}
		case now == in.base:
			return []any{now, now + 1}
		default:
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

type recorder struct {
	mu      sync.Mutex
	began   time.Time
	history []porcupine.Operation
	counts  map[fault.Code]int
}

// record runs one step. One that may still take effect never ends.
func (r *recorder) record(client int, in step, do func() (uint64, error)) seen {
	call := time.Since(r.began).Nanoseconds()
	revision, err := do()
	end := time.Since(r.began).Nanoseconds()
	out := seen{revision: revision}
	if err != nil {
		out.code = fault.CodeOf(err)
	}
	if in.confirm && err != nil && out.code != fault.Conflict && out.code != fault.NotRun {
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[out.code]++
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	return out
}

// accepted is how many steps ended well so far.
func (r *recorder) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[""]
}

var _ = Describe("The history of plans and confirms", func() {
	// Operators plan and confirm at several instances at once, while instances
	// die by SIGKILL, the leader among them. Each plan must see every confirm that
	// had returned, and each refusal must be true.
	It("is that of one operator after the other, whoever is killed", func() {
		s := newControlSite(2)
		r := &recorder{began: time.Now(), counts: map[fault.Code]int{}}
		_, first := s.instances["east-1"].withFloor(0.1)
		var number atomic.Uint64
		var ended atomic.Bool
		var operators sync.WaitGroup
		names := []string{"north-1", "north-2", "south-1", "south-2", "east-2"}
		for client, name := range names {
			operators.Go(func() {
				defer GinkgoRecover()
				in := s.instances[name]
				who := []string{"alice", "bob"}[client%2]
				for !ended.Load() {
					plan := r.record(client, step{}, func() (uint64, error) {
						p, err := in.operator(who).Plan(first)
						if err != nil {
							return 0, err
						}
						return p.Base, nil
					})
					time.Sleep(poll)
					if plan.code != "" {
						continue
					}
					n := number.Add(1)
					doc := withFloor(first, float64(n%500)/1000)
					r.record(client, step{confirm: true, base: plan.revision}, func() (uint64, error) {
						done, err := in.confirm(who, n, plan.revision, doc)
						if err != nil {
							return 0, err
						}
						return done.Revision, nil
					})
				}
			})
		}
		random := rand.New(rand.NewSource(1))
		for range 5 {
			time.Sleep(500 * time.Millisecond)
			v := s.instances[names[random.Intn(len(names))]]
			v.process.kill()
			v.start()
			v.awaitReady()
		}
		// Where a kill hit the leader, confirms stand still until its lease is over, for most
		// of the time that the kills take: the history goes on until it says something.
		Eventually(r.accepted, patience, poll).Should(BeNumerically(">", 100))
		ended.Store(true)
		operators.Wait()
		model := revisions.ToModel()
		Expect(porcupine.CheckOperationsTimeout(model, r.history, patience)).To(Equal(porcupine.Ok), "%v", r.counts)
		GinkgoWriter.Println(len(r.history), "steps", r.counts)
	})
})
