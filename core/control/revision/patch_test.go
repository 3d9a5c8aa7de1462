package revision_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// drawDocument draws a document with a random selection of organisations and models.
func drawDocument(t *rapid.T) intent.Document {
	d := document(rapid.SampledFrom([]float64{0.1, 0.2}).Draw(t, "floor"))
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 6, rapid.ID).Draw(t, "organisations") {
		d.Organisations = append(d.Organisations, intent.Organisation{
			Name: fmt.Sprint("o", n), Classes: []string{"urgent"}, DefaultClass: "urgent",
			Weight: rapid.SampledFrom([]float64{1, 2}).Draw(t, "weight"),
		})
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 3, rapid.ID).Draw(t, "models") {
		d.Models = append(d.Models, intent.Model{Name: fmt.Sprint("m", n), Replicas: 1})
	}
	d.Weights.MaxConcurrentLoads = rapid.IntRange(0, 2).Draw(t, "loads")
	d.Normalize()
	return d
}

// Guards against a configuration in force that nobody confirmed: a confirm is sent as the
// difference from its base, and a member derives a different document from it. A state
// machine that receives patches and one that receives complete documents must give the
// same answers and reach the same state, whatever the base and number of each confirm.
func TestPatchesPutTheSameInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		whole, patched := revision.New(), revision.New()
		documents := []intent.Document{{}}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			base := rapid.IntRange(max(0, len(documents)-2), len(documents)-1).Draw(t, "base")
			doc := drawDocument(t)
			c := revision.Confirm{Operator: "ada", Number: uint64(rapid.IntRange(1, step+1).Draw(t, "number")), Base: uint64(base), Document: doc}
			p, err := revision.NewPatch(&documents[base], &doc)
			g.Expect(err).NotTo(HaveOccurred())
			short := c
			short.Document, short.Patch = intent.Document{}, p
			a := send(whole, c)
			g.Expect(send(patched, short)).To(Equal(a))
			if a.Outcome == revision.Accepted && a.Record.Revision == uint64(len(documents)) {
				documents = append(documents, doc)
			}
			one, err := whole.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			two, err := patched.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(two).To(Equal(one))
		}
	})
}

func TestPatchThatDoesNotFitIsRefused(t *testing.T) {
	g := NewWithT(t)
	m := revision.New()
	g.Expect(confirm(m, "ada", 1, 0, 0.1).Err()).To(Succeed())
	base, next := document(0.3), document(0.2)
	base.Organisations = []intent.Organisation{{Name: "o", Classes: []string{"urgent"}, DefaultClass: "urgent", Weight: 1}}
	next.Organisations = base.Organisations
	p, err := revision.NewPatch(&base, &next)
	g.Expect(err).NotTo(HaveOccurred())
	a := send(m, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Patch: p})
	g.Expect(a.Outcome).To(Equal(revision.Refused))
	g.Expect(a.Current).To(BeEquivalentTo(1))
}

func TestPatchIsSmall(t *testing.T) {
	g := NewWithT(t)
	base := document(0.1)
	for n := range 1600 {
		base.Organisations = append(base.Organisations, intent.Organisation{
			Name: fmt.Sprintf("dish-installers-%04d", n), KeyHashes: []string{base.Operators[0].KeyHash}, Classes: []string{"urgent"}, DefaultClass: "urgent", Weight: 1,
		})
	}
	base.Normalize()
	next := base
	next.Organisations = append([]intent.Organisation{}, base.Organisations...)
	next.Organisations[800].Weight = 2
	p, err := revision.NewPatch(&base, &next)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := control.Marshal(&revision.Confirm{Operator: "ada", Number: uint64(time.Hour), Patch: p})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", 1024))
}
