package revision_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

func document(floor float64) intent.Document {
	hash := strings.Repeat("ab", 32)
	return intent.Document{
		Classes:   []intent.Class{{Name: "urgent", Floor: floor, Deadline: time.Minute}},
		Operators: []intent.Operator{{Name: "ada", KeyHash: hash}, {Name: "bo", KeyHash: hash}, {Name: "reader", KeyHash: hash, ReadOnly: true}},
	}
}

func confirm(m *revision.Machine, operator string, number, base uint64, floor float64) revision.Answer {
	return send(m, revision.Confirm{Operator: operator, Number: number, Base: base, Document: document(floor)})
}

func send(m *revision.Machine, c revision.Confirm) revision.Answer {
	b, err := control.Marshal(&c)
	if err != nil {
		panic(err)
	}
	var a revision.Answer
	if err := control.Unmarshal(m.Apply(1, time.Unix(7, 0), b), &a); err != nil {
		panic(err)
	}
	return a
}

func restored(m *revision.Machine) *revision.Machine {
	b, err := m.Snapshot()
	if err != nil {
		panic(err)
	}
	n := revision.New()
	if err := n.Restore(b); err != nil {
		panic(err)
	}
	return n
}

// Guards against two operators who both believe that their change is in force. Both
// confirm an intent with the same number on the same base, and the second overwrites the
// first or is answered as if it were the first.
func TestEqualNumbersHaveOneWinner(t *testing.T) {
	g := NewWithT(t)
	m := revision.New()
	g.Expect(confirm(m, "ada", 1, 0, 0.1).Err()).To(Succeed())
	won := confirm(m, "ada", 2, 1, 0.2)
	lost := confirm(m, "bo", 2, 1, 0.3)
	g.Expect(lost.Outcome).To(Equal(revision.NumberTaken))
	g.Expect(lost.Err()).To(MatchError(fault.New(fault.Conflict, "")))
	g.Expect(lost.Record).To(Equal(won.Record))
	changes, err := lost.Moved[0].Changes()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Path).To(Equal("class.urgent"))
}

// Guards against reporting an accepted change as refused. The answer is lost, others
// confirm more changes, the log is truncated, the instance restarts, and the operator
// resends. This goes wrong if the first answer has been forgotten.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	m := revision.New()
	first := confirm(m, "ada", 1, 0, 0)
	for i := range uint64(revision.MaxHistory + 50) {
		g.Expect(confirm(m, "bo", i+2, i+1, float64(i+1)/1000).Outcome).To(Equal(revision.Accepted))
	}
	m = restored(m)
	again := confirm(m, "ada", 1, 0, 0)
	g.Expect(again.Outcome).To(Equal(revision.Accepted))
	g.Expect(again.Record).To(Equal(first.Record))
	g.Expect(confirm(m, "ada", 1, 0, 0.9).Outcome).To(Equal(revision.ContentDiffers))
	g.Expect(confirm(m, "bo", 1, 0, 0).Outcome).To(Equal(revision.NumberTaken))
	revisionNow, doc := m.Current()
	g.Expect(revisionNow).To(Equal(uint64(revision.MaxHistory + 51)))
	g.Expect(doc.Classes[0].Floor).To(BeNumerically("~", 0.306))
	moved, from := m.Since(0)
	g.Expect(moved).To(HaveLen(revision.MaxHistory))
	g.Expect(from).To(Equal(uint64(52)))
}

// Guards against silently undoing a colleague's change. Both plan on the same revision
// and confirm; the second document, which lacks the first change, must not be accepted
// as it is.
func TestMovedBaseIsRefusedAndNamed(t *testing.T) {
	g := NewWithT(t)
	m := revision.New()
	confirm(m, "ada", 1, 0, 0.1)
	confirm(m, "ada", 2, 1, 0.2)
	late := confirm(m, "bo", 3, 1, 0.5)
	g.Expect(late.Outcome).To(Equal(revision.BaseMoved))
	g.Expect(late.Moved).To(HaveLen(1))
	g.Expect(late.Moved[0].Record.Operator).To(Equal("ada"))
	g.Expect(late.Current).To(Equal(uint64(2)))
	changes, _ := late.Moved[0].Changes()
	g.Expect(changes[0].Fields[0].Field).To(Equal("floor"))
	g.Expect(confirm(m, "bo", 3, 2, 0.5).Outcome).To(Equal(revision.Accepted), "a refused confirm does not use up its number")
}

func TestBadIntentsAreRefusedWithAllProblems(t *testing.T) {
	g := NewWithT(t)
	m := revision.New()
	confirm(m, "ada", 1, 0, 0.1)
	bad := document(1.5)
	bad.Classes[0].Tier = 99
	a := send(m, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: bad})
	g.Expect(a.Outcome).To(Equal(revision.Refused))
	g.Expect(len(a.Problems)).To(BeNumerically(">=", 2))
	g.Expect(a.Err()).To(MatchError(fault.New(fault.Invalid, "")))
	g.Expect(confirm(m, "reader", 3, 1, 0.1).Outcome).To(Equal(revision.NotAllowed))
	g.Expect(confirm(m, "nobody", 3, 1, 0.1).Outcome).To(Equal(revision.NotAllowed))
	var garbage revision.Answer
	g.Expect(control.Unmarshal(m.Apply(1, time.Now(), []byte{0xff}), &garbage)).To(Succeed())
	g.Expect(garbage.Outcome).To(Equal(revision.Refused))
}

// Members that restarted from a snapshot must give byte-identical answers to those of
// members that did not. Otherwise their states diverge.
func TestRestoredMemberAnswersAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := revision.New(), revision.New()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			current, _ := a.Current()
			c := revision.Confirm{
				Operator: rapid.SampledFrom([]string{"ada", "bo"}).Draw(t, "operator"),
				Number:   rapid.Uint64Range(1, 12).Draw(t, "number"),
				Base:     current - min(current, rapid.Uint64Range(0, 2).Draw(t, "behind")),
				Document: document(rapid.SampledFrom([]float64{0, 0.1, 0.2, 2}).Draw(t, "floor")),
			}
			data, _ := control.Marshal(&c)
			at := time.Unix(int64(i), 0)
			x, y := a.Apply(uint64(i), at, data), b.Apply(uint64(i), at, data)
			if !bytes.Equal(x, y) {
				t.Fatalf("answers differ: %x %x", x, y)
			}
			if rapid.Bool().Draw(t, "restore") {
				b = restored(b)
			}
			left, _ := a.Snapshot()
			right, _ := b.Snapshot()
			if !bytes.Equal(left, right) {
				t.Fatal("states differ")
			}
		}
	})
}

// Guards against taking a very late resend for a new intent. The answer to a confirm is
// lost, and a script resends it a week later, after thousands of changes have been
// accepted and the record of this one was dropped.
func TestVeryLateResendIsRefused(t *testing.T) {
	g := NewWithT(t)
	const records = 8
	m := revision.NewWithRecords(records)
	first := confirm(m, "ada", 5, 0, 0)
	g.Expect(first.Err()).To(Succeed())
	for i := range uint64(3 * records) {
		g.Expect(confirm(m, "bo", 100+i, i+1, float64(i+1)/100).Err()).To(Succeed())
	}
	m = restored(m)
	current, _ := m.Current()
	late := confirm(m, "ada", 5, current, 0)
	g.Expect(late.Outcome).To(Equal(revision.NumberForgotten))
	g.Expect(fault.CodeOf(late.Err())).To(Equal(fault.Conflict))
	g.Expect(confirm(m, "ada", 4, current, 0).Outcome).To(Equal(revision.NumberForgotten))
	last := confirm(m, "bo", 100+3*records-1, 0, float64(3*records)/100)
	g.Expect(last.Outcome).To(Equal(revision.Accepted), "a recent resend gets its first answer")
	g.Expect(confirm(m, "ada", 6, current, 0.9).Err()).To(Succeed())
}
