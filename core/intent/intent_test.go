package intent_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/warmup"
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

	It("refuses what would be ambiguous or boundless in orders to engines", func() {
		d := valid()
		d.Models = []intent.Model{{Name: "m", Version: "1@2", Adapters: []string{"a:b"}, SizeMB: -1}}
		d.Upstreams = []intent.Upstream{{Name: "e-*", Kind: intent.KindEngine, KeyHash: strings.Repeat("ab", 32), MaxModels: -1, Role: "a b"}}
		d.Weights = intent.Weights{RateMB: -1, MaxConcurrentLoads: intent.MaxLoads + 1}
		Expect(problems(d)).To(ConsistOf("model.m.size_mb", "model.m.version", "model.m.adapters",
			"upstream.e-*.max_models", "upstream.e-*.role", "weights.rate_mb", "weights.loads"))
	})

	// Guards against a warm-up limit that is accepted and then means none.
	It("refuses invalid warm-up fields", func() {
		d := valid()
		rule := intent.Upstream{Name: "e-*", Kind: intent.KindEngine, KeyHash: strings.Repeat("ab", 32)}
		rule.WarmUp, rule.WarmUpPerSecond, rule.WarmUpOverrun, rule.WarmUpSlack = -1, math.NaN(), -0.5, math.Inf(1)
		d.Upstreams = []intent.Upstream{rule}
		Expect(problems(d)).To(ConsistOf("upstream.e-*.warmup", "upstream.e-*.warmup_per_s", "upstream.e-*.warmup_overrun", "upstream.e-*.warmup_slack"))
		Expect(fault.CodeOf(d.Validate().(*intent.ProblemsError).Fault())).To(Equal(fault.Invalid))
	})

	It("bounds the requests to cold engines only with a rate", func() {
		rule := intent.Upstream{Kind: intent.KindEngine, WarmUp: time.Second, WarmUpPerSecond: 8.6, WarmUpSlack: 5}
		bound, limited := rule.WarmUpBound()
		Expect(limited).To(BeTrue())
		Expect(bound).To(Equal(warmup.Bound{PerSecond: 8.6, Overrun: 1, Slack: 5}))
		rule.WarmUpPerSecond = 0
		_, limited = rule.WarmUpBound()
		Expect(limited).To(BeFalse())
	})

	It("names entries and fields that differ", func() {
		from, to := valid(), valid()
		to.Classes[1].Floor = 0.2
		to.Organisations = nil
		to.Models = []intent.Model{{Name: "m"}}
		to.Weights.RateMB = 500
		Expect(intent.Diff(from, to)).To(Equal([]intent.Change{
			{Kind: intent.Changed, Path: "class.bulk", Fields: []intent.FieldChange{{Field: "floor", From: 0.1, To: 0.2}}},
			{Kind: intent.Removed, Path: "organisation.ward"},
			{Kind: intent.Added, Path: "model.m"},
			{Kind: intent.Changed, Path: "weights", Fields: []intent.FieldChange{{Field: "rate_mb", From: 0, To: 500}}},
		}))
		Expect(intent.Diff(from, valid())).To(BeEmpty())
	})
})
