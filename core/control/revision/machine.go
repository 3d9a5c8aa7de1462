package revision

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Limits of the stored history and records.
const (
	// MaxHistory is how many revisions are kept together with their changes.
	MaxHistory = 256
	// MaxHistoryBytes bounds the encoded size of these changes, so that a few large
	// intents do not fill the memory of every member.
	MaxHistoryBytes = 4 << 20
	// DefaultRecords is how many accepted numbers are kept to recognise resends: at
	// 5,900 changes a day those of four to five days, in about 7 MB.
	DefaultRecords = 1 << 15
)

// Machine holds the current document, the history, and records of the latest accepted
// numbers, by which resends are recognised. Of the older numbers only the highest of
// each operator is kept, and no number up to it is accepted from that operator any
// more. Otherwise a very late resend would be taken for a new intent. It is not safe
// for concurrent use.
type Machine struct {
	s               snapshotState
	recordsByNumber map[uint64]Record
	// maxRecords must be the same on all members.
	maxRecords int
}

type snapshotState struct {
	Revision uint64          `codec:"r"`
	Document intent.Document `codec:"d"`
	History  []HistoryEntry  `codec:"h"`
	Records  []Record        `codec:"n"`
	// Forgotten is the highest number of each operator without a record.
	Forgotten map[string]uint64 `codec:"f"`
}

var _ control.Machine = (*Machine)(nil)

// New returns a Machine at revision 0, the empty document.
func New() *Machine { return NewWithRecords(DefaultRecords) }

// NewWithRecords is New with a different limit on the records of accepted numbers.
func NewWithRecords(records int) *Machine {
	return &Machine{s: snapshotState{Forgotten: map[string]uint64{}}, recordsByNumber: map[uint64]Record{}, maxRecords: records}
}

// Current returns the revision in force and its document, which must not be
// changed. Revision 0 is the empty document before the first intent.
func (m *Machine) Current() (uint64, *intent.Document) { return m.s.Revision, &m.s.Document }

// ByNumber returns the record of the accepted intent with a number.
func (m *Machine) ByNumber(number uint64) (Record, bool) {
	r, ok := m.recordsByNumber[number]
	return r, ok
}

// Since returns the revisions after base that are still in the history, oldest first,
// and the first revision of the history.
func (m *Machine) Since(base uint64) (moved []HistoryEntry, from uint64) {
	from = m.s.Revision + 1
	if len(m.s.History) > 0 {
		from = m.s.History[0].Record.Revision
	}
	i := slices.IndexFunc(m.s.History, func(x HistoryEntry) bool { return x.Record.Revision > base })
	if i < 0 {
		return nil, from
	}
	return slices.Clone(m.s.History[i:]), from
}

// Apply implements control.Machine.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var c Confirm
	answer := Answer{Outcome: Refused, Detail: "cannot decode the confirm"}
	if control.Unmarshal(data, &c) == nil {
		answer = m.confirm(c, at)
	}
	answer.Current = m.s.Revision
	b, err := control.Marshal(&answer)
	if err != nil {
		return nil
	}
	return b
}

func (m *Machine) confirm(c Confirm, at time.Time) Answer {
	doc, digest, err := m.document(&c)
	if err != nil {
		return Answer{Outcome: Refused, Detail: err.Error()}
	}
	if r, taken := m.recordsByNumber[c.Number]; taken {
		return m.answerResend(c, digest, r)
	}
	if last, known := m.s.Forgotten[c.Operator]; known && c.Number <= last {
		return Answer{Outcome: NumberForgotten, Detail: fmt.Sprintf(
			"the records of your intents up to number %d have been dropped, so it is unknown whether this one was accepted; check the revision in force and choose a higher number", last)}
	}
	if refusal := m.checkConfirm(c, doc); refusal != nil {
		return *refusal
	}
	r := Record{Revision: m.s.Revision + 1, Operator: c.Operator, Number: c.Number, Digest: digest, At: at.UnixNano()}
	m.accept(r, *doc)
	return Answer{Outcome: Accepted, Record: r}
}

// document returns the document that a confirm puts in force, and its digest. For a
// patch on a base other than the current revision only the digest is known. That
// suffices to recognise a resend; any other such confirm is refused because of its base.
func (m *Machine) document(c *Confirm) (*intent.Document, Digest, error) {
	switch {
	case c.Patch == nil:
		digest, err := DigestOf(&c.Document)
		return &c.Document, digest, err
	case c.Base != m.s.Revision:
		return nil, c.Patch.Digest, nil
	}
	doc, err := c.Patch.Apply(&m.s.Document)
	return doc, c.Patch.Digest, err
}

// answerResend answers a confirm whose number was accepted before. This check precedes
// all others that may refuse a valid document, even that of the base: a sender whose
// first answer was lost must not be told that the base has moved, which its own confirm
// did, and plan the same change twice. The base is not part of the compared content,
// since the operator may have planned again before the resend.
func (m *Machine) answerResend(c Confirm, digest Digest, r Record) Answer {
	switch {
	case r.Operator == c.Operator && r.Digest == digest:
		return Answer{Outcome: Accepted, Record: r}
	case r.Operator == c.Operator:
		return Answer{Outcome: ContentDiffers, Record: r,
			Detail: fmt.Sprintf("your intent %d was already accepted with different content as revision %d; choose another number", c.Number, r.Revision)}
	}
	a := Answer{Outcome: NumberTaken, Record: r,
		Detail: fmt.Sprintf("intent %d of operator %q was accepted first as revision %d; choose another number", c.Number, r.Operator, r.Revision)}
	for _, h := range m.s.History {
		if h.Record.Revision == r.Revision {
			a.Moved, a.MovedFrom = []HistoryEntry{h}, r.Revision
		}
	}
	return a
}

func (m *Machine) checkConfirm(c Confirm, doc *intent.Document) *Answer {
	if a := validateDocument(doc); a != nil {
		return a
	}
	if !m.mayConfirm(c.Operator) {
		return &Answer{Outcome: NotAllowed, Detail: fmt.Sprintf("operator %q is not allowed to confirm under revision %d", c.Operator, m.s.Revision)}
	}
	if c.Base == m.s.Revision {
		return nil
	}
	a := &Answer{Outcome: BaseMoved, Detail: fmt.Sprintf("the plan was made on revision %d, but the current revision is %d", c.Base, m.s.Revision)}
	a.Moved, a.MovedFrom = m.Since(c.Base)
	return a
}

func validateDocument(doc *intent.Document) *Answer {
	if doc == nil {
		return nil
	}
	err := doc.Validate()
	if err == nil {
		return nil
	}
	a := &Answer{Outcome: Refused, Detail: err.Error()}
	var p *intent.ProblemsError
	if errors.As(err, &p) {
		a.Problems = p.Problems
	}
	return a
}

// mayConfirm reports whether the current document lets the operator confirm. Before the
// first intent, which defines the operators, everyone may.
func (m *Machine) mayConfirm(operator string) bool {
	if m.s.Revision == 0 {
		return true
	}
	return slices.ContainsFunc(m.s.Document.Operators, func(o intent.Operator) bool {
		return o.Name == operator && !o.ReadOnly
	})
}

func (m *Machine) accept(r Record, doc intent.Document) {
	encoded, err := control.Marshal(intent.Diff(&m.s.Document, &doc))
	if err != nil {
		encoded = nil
	}
	m.s.Revision, m.s.Document = r.Revision, doc
	m.s.Records = append(m.s.Records, r)
	m.recordsByNumber[r.Number] = r
	m.dropOldRecords()
	m.s.History = append(m.s.History, HistoryEntry{Record: r, Encoded: encoded})
	m.trimHistory()
}

// dropOldRecords drops the oldest records, a quarter of them at a time, so that the
// remaining ones are rarely copied.
func (m *Machine) dropOldRecords() {
	if len(m.s.Records) <= m.maxRecords {
		return
	}
	const share = 4
	old := m.s.Records[:len(m.s.Records)-m.maxRecords+m.maxRecords/share]
	for _, r := range old {
		delete(m.recordsByNumber, r.Number)
		m.s.Forgotten[r.Operator] = max(m.s.Forgotten[r.Operator], r.Number)
	}
	m.s.Records = slices.Clone(m.s.Records[len(old):])
}

func (m *Machine) trimHistory() {
	size := 0
	for i := len(m.s.History) - 1; i >= 0; i-- {
		size += len(m.s.History[i].Encoded)
		if len(m.s.History)-i > MaxHistory || size > MaxHistoryBytes {
			m.s.History = slices.Clone(m.s.History[i+1:])
			return
		}
	}
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return control.Marshal(&m.s) }

// Restore implements control.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := control.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	if s.Forgotten == nil {
		s.Forgotten = map[string]uint64{}
	}
	m.s = s
	m.recordsByNumber = make(map[uint64]Record, len(s.Records))
	for _, r := range s.Records {
		m.recordsByNumber[r.Number] = r
	}
	return nil
}
