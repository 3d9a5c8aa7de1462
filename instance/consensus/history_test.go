package consensus_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// historyInput is a confirm, or a read of the revision if it has no operator.
type historyInput struct {
	operator     string
	number, base uint64
	floor        float64
}

type historyOutput struct {
	// notRun means that the operation must not have taken effect, unknown that it
	// may take effect at any time after its call.
	notRun, unknown bool
	outcome         revision.Outcome
	operator        string
	revision        uint64
}

type accepted struct {
	operator string
	floor    float64
	revision uint64
}

type historyState struct {
	revision uint64
	numbers  map[uint64]accepted
}

// confirmModel is the sequential specification of confirm.
var confirmModel = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(historyState), input.(historyInput), output.(historyOutput)
		if out.notRun {
			return true, s
		}
		if in.operator == "" {
			return out.unknown || out.revision == s.revision, s
		}
		want, next := s.confirm(in)
		return out.unknown || out == want, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(historyState), b.(historyState)
		return x.revision == y.revision && maps.Equal(x.numbers, y.numbers)
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func (s historyState) confirm(in historyInput) (historyOutput, historyState) {
	if a, taken := s.numbers[in.number]; taken {
		out := historyOutput{outcome: revision.NumberTaken, operator: a.operator, revision: a.revision}
		if a.operator == in.operator {
			out.outcome = revision.ContentDiffers
			if a.floor == in.floor {
				out.outcome = revision.Accepted
			}
		}
		return out, s
	}
	if in.base != s.revision {
		return historyOutput{outcome: revision.BaseMoved}, s
	}
	next := historyState{revision: s.revision + 1, numbers: maps.Clone(s.numbers)}
	if next.numbers == nil {
		next.numbers = map[uint64]accepted{}
	}
	next.numbers[in.number] = accepted{operator: in.operator, floor: in.floor, revision: next.revision}
	return historyOutput{outcome: revision.Accepted, operator: in.operator, revision: next.revision}, next
}

// history records concurrent operations.
type history struct {
	mu        sync.Mutex
	ops       []porcupine.Operation
	startedAt time.Time
}

func (h *history) add(client int, call time.Duration, in historyInput, out historyOutput) {
	op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(h.startedAt))}
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
}

// operate simulates one operator: it reads, confirms on top of the revision it read
// with a number that others also choose, and sometimes repeats an earlier confirm.
func (h *history) operate(g *group, client int, done <-chan struct{}) {
	rnd := rand.New(rand.NewSource(int64(client)))
	operator := []string{"ada", "bo", "cy", "dee"}[client]
	var sent []historyInput
	var base uint64
	for !closed(done) {
		time.Sleep(time.Duration(rnd.Intn(20)) * time.Millisecond)
		name := memberNames[rnd.Intn(len(memberNames))]
		call := time.Since(h.startedAt)
		if rnd.Intn(3) == 0 {
			out := readRevision(g, name)
			if !out.unknown {
				base = out.revision
			}
			h.add(client, call, historyInput{}, out)
			continue
		}
		in := historyInput{operator: operator, number: base + 1 + uint64(rnd.Intn(2)), base: base, floor: float64(rnd.Intn(3)) / 10}
		if len(sent) > 0 && rnd.Intn(4) == 0 {
			in = sent[rnd.Intn(len(sent))]
		}
		sent = append(sent, in)
		a, err := g.confirm(name, revision.Confirm{Operator: operator, Number: in.number, Base: in.base, Document: document(in.floor)})
		out := historyOutput{outcome: a.Outcome, operator: a.Record.Operator, revision: a.Record.Revision}
		switch {
		case err == nil:
			base = a.Current
		case fault.CodeOf(err) == fault.NotRun:
			out = historyOutput{notRun: true}
		default:
			out = historyOutput{unknown: true}
		}
		h.add(client, call, in, out)
	}
}

func readRevision(g *group, name string) historyOutput {
	s := g.running(name)
	if s == nil {
		return historyOutput{unknown: true}
	}
	if _, err := s.Read(context.Background()); err != nil {
		return historyOutput{unknown: true}
	}
	var out historyOutput
	s.View(func(_ uint64, m *control.Mux) {
		out.revision, _ = m.Machine(revision.Name).(*revision.Machine).Current()
	})
	return out
}

// Guards against a confirm that is not linearizable: two operators both succeed with
// one number, a repeated confirm is applied twice, a change reported as not run takes
// effect, or a confirmed one is lost. Four operators race with equal numbers through
// all members, while messages are lost, delayed and duplicated, and members crash and
// are partitioned.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { smallSnapshots(c); c.Timeout = 300 * time.Millisecond }, memberNames...)
	h := &history{startedAt: time.Now()}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			h.operate(g, client, done)
		}()
	}
	g.injectFaults(30)
	close(done)
	clients.Wait()
	g.setNetwork(0)
	codes := map[revision.Outcome]int{}
	for _, op := range h.ops {
		out := op.Output.(historyOutput)
		switch {
		case out.notRun:
			codes["not run"]++
		case out.unknown:
			codes["unknown"]++
		default:
			codes[out.outcome]++
		}
	}
	t.Logf("outcomes (empty for reads): %v", codes)
	gm.Expect(codes[revision.Accepted]).To(BeNumerically(">", 10))
	gm.Expect(porcupine.CheckOperationsTimeout(confirmModel, h.ops, time.Minute)).To(Equal(porcupine.Ok))
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// injectFaults performs random fault steps: it crashes, restarts and partitions members.
func (g *group) injectFaults(steps int) {
	rnd := rand.New(rand.NewSource(3))
	down := ""
	for range steps {
		time.Sleep(time.Duration(50+rnd.Intn(100)) * time.Millisecond)
		switch rnd.Intn(5) {
		case 0:
			if down == "" {
				down = memberNames[rnd.Intn(3)]
				if leader := g.leader(); leader != "" {
					down = leader
				}
				g.crash(down)
			}
		case 1:
			if down != "" {
				g.start(down)
				down = ""
			}
		case 2:
			g.setNetwork(0.1, memberNames[rnd.Intn(3)]+">"+memberNames[rnd.Intn(3)])
		case 3:
			g.setNetwork(0.2)
		case 4:
			g.setNetwork(0.02)
		}
	}
	if down != "" {
		g.start(down)
	}
}
