package intent_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

func TestIntent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intent")
}

func valid() *intent.Document {
	return &intent.Document{
		Classes: []intent.Class{
			{Name: "urgent", Tier: 0, Protected: true, FirstToken: time.Second, Deadline: time.Minute, Floor: 0.5},
			{Name: "bulk", Tier: 3, Floor: 0.1},
		},
		Organisations: []intent.Organisation{{Name: "ward", Classes: []string{"urgent", "bulk"}, DefaultClass: "bulk", Weight: 1}},
		Operators:     []intent.Operator{{Name: "ops", KeyHash: strings.Repeat("ab", 32)}},
	}
}

func problems(d *intent.Document) []string {
	err := d.Validate()
	if err == nil {
		return nil
	}
	var out []string
	for _, p := range err.(*intent.ProblemsError).Problems {
		out = append(out, p.Path)
	}
	return out
}

var _ = Describe("Document", func() {
	It("accepts a valid document", func() {
		Expect(valid().Validate()).To(Succeed())
	})

	It("reports every problem at once", func() {
		d := valid()
		d.Classes[0].Floor = 0.95
		d.Classes[1].Tier = -1
		d.Organisations[0].DefaultClass = "gone"
		d.Organisations[0].Weight = 0
		d.Operators = nil
		Expect(problems(d)).To(ConsistOf("class.bulk.tier", "class", "class.urgent.tier",
			"organisation.ward.weight", "organisation.ward.default_class", "operator"))
	})

	It("refuses a service level that contradicts its deadline", func() {
		d := valid()
		d.Classes[0].Deadline = time.Millisecond
		Expect(problems(d)).To(ConsistOf("class.urgent.deadline"))
	})

	It("refuses a protected class that is not above an unprotected one", func() {
		d := valid()
		d.Classes[1].Tier = 0
		Expect(problems(d)).To(ConsistOf("class.urgent.tier"))
	})

	It("names entries and fields that differ", func() {
		from, to := valid(), valid()
		to.Classes[1].Floor = 0.2
		to.Organisations = nil
		to.Models = []intent.Model{{Name: "m"}}
		Expect(intent.Diff(from, to)).To(Equal([]intent.Change{
			{Verb: intent.Changed, Path: "class.bulk", Fields: []intent.FieldChange{{Field: "floor", From: 0.1, To: 0.2}}},
			{Verb: intent.Removed, Path: "organisation.ward"},
			{Verb: intent.Added, Path: "model.m"},
		}))
		Expect(intent.Diff(from, valid())).To(BeEmpty())
	})
})
