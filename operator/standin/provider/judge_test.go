package provider_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/standin/provider"
)

func TestTheJudgeFindsEachBrokenRule(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	judged := func(f func(j *provider.Judge)) []string {
		j := provider.NewJudge(provider.Rules{Lease: 3 * time.Second, PerSecond: 5})
		f(j)
		return j.Broken()
	}
	a, b := provider.Caller{Machine: "a", Number: 1}, provider.Caller{Machine: "b", Number: 2}
	again := provider.Caller{Machine: "a", Number: 3}
	counts, others := map[string]uint64{"o": 3}, map[string]uint64{"o": 4}
	g.Expect(judged(func(j *provider.Judge) {
		j.Report(now, a, 7, counts)
		j.Report(now, a, 7, counts)
		j.Report(now.Add(time.Second), b, 7, counts)
		j.Report(now.Add(3*time.Second), again, 8, others)
	})).To(BeEmpty())
	g.Expect(judged(func(j *provider.Judge) {
		j.Report(now, a, 7, counts)
		j.Report(now, a, 7, others)
	})).To(ConsistOf(ContainSubstring("window 7")))
	g.Expect(judged(func(j *provider.Judge) {
		j.Report(now, b, 7, counts)
		j.Report(now, a, 7, counts)
	})).To(ConsistOf(ContainSubstring("a calls with 1 after 2 of b")))
	g.Expect(judged(func(j *provider.Judge) {
		j.Order(now, a, "s")
		j.Order(now, provider.Caller{Machine: "b", Number: 1}, "s")
		j.Order(now, b, "t")
	})).To(ConsistOf(ContainSubstring("s: a and b call with 1")))
	g.Expect(judged(func(j *provider.Judge) {
		j.Order(now, a, "s")
		j.Order(now.Add(time.Second), b, "s")
		j.Order(now.Add(2*time.Second), again, "s")
	})).To(ConsistOf(ContainSubstring("before and after another machine")))
	j := provider.NewJudge(provider.Rules{PerSecond: 2})
	g.Expect([]provider.Answer{j.Order(now, a, "s"), j.Order(now, a, "s"), j.Order(now, a, "s")}).
		To(Equal([]provider.Answer{provider.Accepted, provider.Accepted, provider.TooFast}))
}
