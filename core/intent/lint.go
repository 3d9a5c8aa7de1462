package intent

import (
	"cmp"
	"slices"
	"time"
)

// Lint returns the entries of a valid document that can never take effect at the given time, and the
// limits that contradict each other. Such a document is accepted; the warnings are for the person who
// wrote it. Use Validate for violations.
func (d *Document) Lint(now time.Time) []Problem {
	l := &linter{validator{doc: d}, now}
	l.lintClasses()
	l.lintOrganisations()
	l.lintUpstreams()
	l.lintModels()
	l.lintServices()
	l.lintOperators()
	slices.SortStableFunc(l.problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return l.problems
}

type linter struct {
	validator
	now time.Time
}

func (l *linter) lintClasses() {
	for _, c := range l.doc.Classes {
		path := "class." + c.Name
		if !slices.ContainsFunc(l.doc.Organisations, func(o Organisation) bool { return slices.Contains(o.Classes, c.Name) }) {
			l.add(path, "no organisation may use the class")
		}
		if c.FirstToken == 0 && c.BetweenTokens == 0 && c.Total == 0 {
			l.add(path+".attainment", "the class has no target that could be met")
		}
		l.lintLongestResponse(path, c)
	}
	if len(l.doc.Classes) > 0 && !l.trusts(KindEngine) {
		l.add("upstream", "no rule trusts an engine, so no class can be served")
	}
}

// lintLongestResponse checks whether the longest permitted response, at the target interval between its
// tokens, fits within the other limits of its class.
func (l *linter) lintLongestResponse(path string, c Class) {
	if c.MaxTokens < 2 || c.BetweenTokens <= 0 {
		return
	}
	longest := c.FirstToken + time.Duration(c.MaxTokens-1)*c.BetweenTokens
	switch {
	case c.Deadline > 0 && longest > c.Deadline:
		l.add(path+".max_tokens", "a response of %d tokens takes %v at its targets, longer than the deadline of %v", c.MaxTokens, longest, c.Deadline)
	case c.Total > 0 && longest > c.Total:
		l.add(path+".max_tokens", "a response of %d tokens takes %v at its targets, longer than the total of %v", c.MaxTokens, longest, c.Total)
	}
}

func (l *linter) trusts(kind UpstreamKind) bool {
	return slices.ContainsFunc(l.doc.Upstreams, func(u Upstream) bool { return u.Kind == kind })
}

func (l *linter) lintOrganisations() {
	for _, o := range l.doc.Organisations {
		path := "organisation." + o.Name
		valid := 0
		seen := map[string]bool{}
		for _, h := range o.KeyHashes {
			digest, expires := SplitKeyHash(h)
			switch {
			case seen[digest]:
				l.add(path+".key_hashes", "the key %.8s… is listed twice", digest)
			case !expires.IsZero() && !l.now.Before(expires):
				l.add(path+".key_hashes", "the key %.8s… has expired and matches no request", digest)
			default:
				valid++
			}
			seen[digest] = true
		}
		if valid == 0 {
			l.add(path, "the organisation has no valid key, so no request is its own")
		}
		if len(o.Classes) == 0 && len(o.Services) == 0 {
			l.add(path, "the organisation may use no class and no service")
		}
	}
}

func (l *linter) lintUpstreams() {
	for _, u := range l.doc.Upstreams {
		path := "upstream." + u.Name
		l.lintWarmUp(path, u)
		if u.Kind != KindService {
			continue
		}
		for field, set := range map[string]bool{"models": len(u.Models) > 0, "max_models": u.MaxModels > 0, "role": u.Role != "", "checks_fence": u.ChecksFence, "warmup_per_s": u.WarmUpPerSecond > 0} {
			if set {
				l.add(path+"."+field, "the field applies to engines alone and is ignored for a service")
			}
		}
	}
}

// lintWarmUp finds warm-up fields that have no effect for lack of a rate, and a bound below one request
// in a second: a cold engine would receive nothing, however long it stays cold.
func (l *linter) lintWarmUp(path string, u Upstream) {
	if u.WarmUpPerSecond == 0 && (u.WarmUp > 0 || u.WarmUpOverrun > 0 || u.WarmUpSlack > 0) {
		l.add(path+".warmup_per_s", "without a rate, the other warm-up fields have no effect")
	}
	if b, ok := u.WarmUpBound(); ok && b.Requests() < 1 {
		l.add(path+".warmup_per_s", "less than one request in a second is allowed, so cold engines receive none")
	}
}

func (l *linter) lintModels() {
	for _, m := range l.doc.Models {
		allowed := slices.ContainsFunc(l.doc.Upstreams, func(u Upstream) bool {
			return u.Kind == KindEngine && (len(u.Models) == 0 || slices.Contains(u.Models, m.Name))
		})
		if !allowed {
			l.add("model."+m.Name, "no rule lets an engine hold the model")
		}
	}
}

func (l *linter) lintServices() {
	for _, s := range l.doc.Services {
		path := "service." + s.Name
		if !slices.ContainsFunc(l.doc.Organisations, func(o Organisation) bool { return slices.Contains(o.Services, s.Name) }) {
			l.add(path, "no organisation may call the service")
		}
		if !s.AtMostOnce && s.RequireKey {
			l.add(path+".require_key", "calls need a key that is not used, since at_most_once is off")
		}
		if !s.AtMostOnce && s.QueryPath != "" {
			l.add(path+".query_path", "the path is never queried, since at_most_once is off")
		}
	}
	if len(l.doc.Services) > 0 && !l.trusts(KindService) {
		l.add("upstream", "no rule trusts a service, so no call can be served")
	}
}

// lintOperators finds operators that can't be told apart: a key identifies the last one that has it.
func (l *linter) lintOperators() {
	last := map[string]string{}
	for _, o := range l.doc.Operators {
		last[o.KeyHash] = o.Name
	}
	for _, o := range l.doc.Operators {
		if owner := last[o.KeyHash]; owner != o.Name {
			l.add("operator."+o.Name+".key_hash", "%q has the same key, so this entry never matches", owner)
		}
	}
}
