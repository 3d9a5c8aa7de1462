package intent

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const digestA, digestB = "aa", "bb"

func lintable() *Document {
	key := func(c string) string { return strings.Repeat(c, 32) }
	return &Document{
		Classes:       []Class{{Name: "c", FirstToken: time.Second, BetweenTokens: 10 * time.Millisecond, MaxTokens: 100, Deadline: 10 * time.Second, Attainment: 1}},
		Organisations: []Organisation{{Name: "o", KeyHashes: []string{key(digestA)}, Classes: []string{"c"}, DefaultClass: "c", Weight: 1, Services: []string{"s"}}},
		Upstreams:     []Upstream{{Name: "e*", Kind: KindEngine, KeyHash: key(digestA)}, {Name: "p", Kind: KindService, KeyHash: key(digestA)}},
		Models:        []Model{{Name: "m", Replicas: 1}},
		Services:      []Service{{Name: "s", AtMostOnce: true, RequireKey: true, QueryPath: "/q", Timeout: time.Second, Retention: time.Minute}},
		Operators:     []Operator{{Name: "a", KeyHash: key(digestA)}},
	}
}

// Guards against entries without effect, or limits that contradict each other, that nobody is warned of,
// and against warnings on sound documents.
func TestLintFindsEntriesWithoutEffect(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(d *Document)
		paths  []string
	}{
		"sound":           {func(*Document) {}, nil},
		"unused class":    {func(d *Document) { d.Classes = append(d.Classes, Class{Name: "z", Total: time.Second}) }, []string{"class.z"}},
		"no target":       {func(d *Document) { d.Classes[0].FirstToken, d.Classes[0].BetweenTokens = 0, 0 }, []string{"class.c.attainment"}},
		"too many tokens": {func(d *Document) { d.Classes[0].MaxTokens = 1000 }, []string{"class.c.max_tokens"}},
		"expired key":     {func(d *Document) { d.Organisations[0].KeyHashes[0] += "@2020-01-01" }, []string{"organisation.o", "organisation.o.key_hashes"}},
		"key twice": {func(d *Document) {
			d.Organisations[0].KeyHashes = append(d.Organisations[0].KeyHashes, d.Organisations[0].KeyHashes[0])
		}, []string{"organisation.o.key_hashes"}},
		"no engine":              {func(d *Document) { d.Upstreams = d.Upstreams[1:] }, []string{"model.m", "upstream"}},
		"field of engines":       {func(d *Document) { d.Upstreams[1].Role = "x" }, []string{"upstream.p.role"}},
		"warm-up of a service":   {func(d *Document) { d.Upstreams[1].WarmUpPerSecond = 5 }, []string{"upstream.p.warmup_per_s"}},
		"warm-up without a rate": {func(d *Document) { d.Upstreams[0].WarmUp = time.Second }, []string{"upstream.e*.warmup_per_s"}},
		"warm-up below one":      {func(d *Document) { d.Upstreams[0].WarmUpPerSecond = 0.5 }, []string{"upstream.e*.warmup_per_s"}},
		"warm-up in force":       {func(d *Document) { d.Upstreams[0].WarmUpPerSecond, d.Upstreams[0].WarmUp = 5, time.Second }, nil},
		"model not held":         {func(d *Document) { d.Upstreams[0].Models = []string{"other"} }, []string{"model.m"}},
		"service unused":         {func(d *Document) { d.Organisations[0].Services = nil }, []string{"service.s"}},
		"key without use":        {func(d *Document) { d.Services[0].AtMostOnce = false }, []string{"service.s.query_path", "service.s.require_key"}},
		"same operator": {func(d *Document) {
			d.Operators = append(d.Operators, Operator{Name: "b", KeyHash: d.Operators[0].KeyHash})
		}, []string{"operator.a.key_hash"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := lintable()
			tc.change(d)
			var paths []string
			for _, p := range d.Lint(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) {
				paths = append(paths, p.Path)
			}
			g.Expect(paths).To(Equal(tc.paths))
		})
	}
}

// Guards against a difference that is shown without what it means.
func TestEachChangeHasAnEffect(t *testing.T) {
	g := NewWithT(t)
	old, next := lintable(), lintable()
	next.Classes[0].Tier, next.Classes[0].Attainment = 3, 0.5
	next.Services, next.Operators = nil, append(next.Operators, Operator{Name: "z", KeyHash: strings.Repeat(digestB, 32)})
	var effects []string
	for _, c := range Diff(old, next) {
		g.Expect(c.Effects()).NotTo(BeEmpty(), c.Path)
		effects = append(effects, c.Effects()...)
	}
	g.Expect(effects).To(ContainElement("tier: its place among the classes changes (0 -> 3)"))
	g.Expect(effects).To(ContainElement("attainment: the setting changes (1 -> 0.5)"))
	g.Expect(effects).To(ContainElement("calls under its prefix are refused"))
}
