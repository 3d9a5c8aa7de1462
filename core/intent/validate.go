package intent

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/warmup"
)

// Limits of a document. They bound the memory that one configuration takes on every
// instance.
const (
	MaxTier          = 15
	MaxClasses       = 64
	MaxOrganisations = 10_000
	MaxUpstreams     = 4_000
	MaxModels        = 256
	MaxServices      = 256
	MaxOperators     = 256
	MaxAdapters      = 32
	MaxSizeMB        = 10_000_000
	MaxRateMB        = 1_000_000
	MaxLoads         = 1_000
	MaxWarmUp        = 1_000_000
	maxNameLen       = 64
)

var (
	nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	// labelRE excludes ":" and "@", which separate model, version and adapter in the
	// names that engines are ordered to hold.
	labelRE = regexp.MustCompile(`^[A-Za-z0-9._-]*$`)
)

// Problem is one violation in a document.
type Problem struct {
	// Path names the entry and field, such as "class.nurse-review.floor".
	Path string `json:"path" codec:"path"`
	// Detail says what is wrong and what is allowed.
	Detail string `json:"detail" codec:"detail"`
}

// ProblemsError lists all violations in a document.
type ProblemsError struct{ Problems []Problem }

// Error implements error.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Path + ": " + p.Detail
	}
	return strings.Join(lines, "; ")
}

// Fault returns the problems as an error with code Invalid.
func (e *ProblemsError) Fault() *fault.Error {
	return fault.Wrap(e, fault.Invalid, "%d problems in the intent", len(e.Problems))
}

type validator struct {
	doc      *Document
	problems []Problem
}

func (c *validator) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// Validate returns nil, or a *ProblemsError that lists all problems.
func (d *Document) Validate() error {
	c := &validator{doc: d}
	c.checkAllNames()
	c.checkClasses()
	c.checkOrganisations()
	c.checkUpstreams()
	c.checkModels()
	c.checkWeights()
	c.checkServices()
	c.checkOperators()
	if len(c.problems) == 0 {
		return nil
	}
	return &ProblemsError{Problems: c.problems}
}

func (c *validator) checkAllNames() {
	d := c.doc
	checkNames(c, "class", MaxClasses, d.Classes, func(v Class) string { return v.Name })
	checkNames(c, "organisation", MaxOrganisations, d.Organisations, func(v Organisation) string { return v.Name })
	checkNames(c, "upstream", MaxUpstreams, d.Upstreams, func(v Upstream) string {
		return strings.TrimSuffix(v.Name, "*") + wildcardSuffix(v.Name)
	})
	checkNames(c, "model", MaxModels, d.Models, func(v Model) string { return v.Name })
	checkNames(c, "service", MaxServices, d.Services, func(v Service) string { return v.Name })
	checkNames(c, "operator", MaxOperators, d.Operators, func(v Operator) string { return v.Name })
}

// wildcardSuffix makes the names "a" and "a*" distinct while both match the name pattern.
func wildcardSuffix(name string) string {
	if strings.HasSuffix(name, "*") {
		return "x"
	}
	return ""
}

func checkNames[T any](c *validator, kind string, limit int, list []T, name func(T) string) {
	if len(list) > limit {
		c.add(kind, "%d entries, at most %d are allowed", len(list), limit)
	}
	seen := make(map[string]bool, len(list))
	for _, v := range list {
		n := name(v)
		if len(n) > maxNameLen || !nameRE.MatchString(n) {
			c.add(kind+"."+n, "a name has 1 to %d of the characters a-z 0-9 . _ - and starts and ends with a letter or digit", maxNameLen)
		}
		if seen[n] {
			c.add(kind+"."+n, "declared twice")
		}
		seen[n] = true
	}
}

func (c *validator) checkClasses() {
	if len(c.doc.Classes) == 0 {
		c.add("class", "at least one class is required")
	}
	floors := 0.0
	for _, cl := range c.doc.Classes {
		c.checkClass(cl)
		floors += cl.Floor
	}
	if floors > 1+1e-9 {
		c.add("class", "the floors sum to %.3f, at most 1 is allowed", floors)
	}
	c.checkProtectedTiers()
}

func (c *validator) checkClass(cl Class) {
	path := "class." + cl.Name
	if cl.Tier < 0 || cl.Tier > MaxTier {
		c.add(path+".tier", "%d is not within 0 to %d", cl.Tier, MaxTier)
	}
	if !inRange(cl.Floor, 0, 1) || cl.Floor == 1 {
		c.add(path+".floor", "%v must be at least 0 and less than 1", cl.Floor)
	}
	if !inRange(cl.Attainment, 0, 1) {
		c.add(path+".attainment", "%v is not within 0 to 1", cl.Attainment)
	}
	if cl.FirstToken < 0 || cl.BetweenTokens < 0 || cl.Total < 0 || cl.Deadline < 0 {
		c.add(path, "a duration is negative")
	}
	if cl.Total > 0 && cl.FirstToken > cl.Total {
		c.add(path+".first_token", "%v is longer than the total of %v", cl.FirstToken, cl.Total)
	}
	if cl.Deadline > 0 && max(cl.Total, cl.FirstToken) > cl.Deadline {
		c.add(path+".deadline", "%v is shorter than the target of %v", cl.Deadline, max(cl.Total, cl.FirstToken))
	}
	if cl.MaxTokens < 0 {
		c.add(path+".max_tokens", "%d is negative", cl.MaxTokens)
	}
}

// checkProtectedTiers refuses a protected class that is not above every unprotected one:
// unprotected work would go first and could displace protected work.
func (c *validator) checkProtectedTiers() {
	for _, p := range c.doc.Classes {
		for _, u := range c.doc.Classes {
			if p.Protected && !u.Protected && p.Tier >= u.Tier {
				c.add("class."+p.Name+".tier", "the class is protected, but its tier %d is not above tier %d of %q, which is not protected", p.Tier, u.Tier, u.Name)
			}
		}
	}
}

func (c *validator) checkOrganisations() {
	keys := map[string]string{}
	for _, o := range c.doc.Organisations {
		path := "organisation." + o.Name
		if !inRange(o.Weight, 0, 1e6) || o.Weight == 0 {
			c.add(path+".weight", "%v must be greater than 0 and at most 1000000", o.Weight)
		}
		c.checkOrganisationClasses(path, o)
		for _, s := range o.Services {
			if c.doc.Service(s) == nil {
				c.add(path+".services", "service %q is not declared", s)
			}
		}
		for _, h := range o.KeyHashes {
			c.checkOrganisationKey(path+".key_hashes", h, o.Name, keys)
		}
	}
}

// checkOrganisationKey checks one "digest" or "digest@date", and that no other
// organisation has the same key: requests would be charged to the last one that declares
// it.
func (c *validator) checkOrganisationKey(path, text, org string, owners map[string]string) {
	digest, date, dated := strings.Cut(text, "@")
	c.checkKeyHash(path, digest)
	if _, err := time.Parse(time.DateOnly, date); dated && err != nil {
		c.add(path, "%q: the last day of a key must have the form 2027-01-31", date)
	}
	if other, dup := owners[digest]; dup {
		c.add(path, "the same key belongs to %q", other)
	}
	owners[digest] = org
}

func (c *validator) checkOrganisationClasses(path string, o Organisation) {
	for _, name := range o.Classes {
		if c.doc.Class(name) == nil {
			c.add(path+".classes", "class %q is not declared", name)
		}
	}
	if !slices.Contains(o.Classes, o.DefaultClass) {
		c.add(path+".default_class", "%q is not among its classes", o.DefaultClass)
	}
}

func (c *validator) checkUpstreams() {
	for _, u := range c.doc.Upstreams {
		path := "upstream." + u.Name
		if u.Kind != KindEngine && u.Kind != KindService {
			c.add(path+".kind", "%q is neither %q nor %q", u.Kind, KindEngine, KindService)
		}
		c.checkKeyHash(path+".key_hash", u.KeyHash)
		c.checkRange(path+".max_models", u.MaxModels, MaxModels)
		c.checkLabel(path+".role", u.Role)
		c.checkWarmUp(path, u)
		for _, m := range u.Models {
			if c.doc.Model(m) == nil {
				c.add(path+".models", "model %q is not declared", m)
			}
		}
	}
}

func (c *validator) checkWarmUp(path string, u Upstream) {
	if u.WarmUp < 0 || u.WarmUp > warmup.MaxCold {
		c.add(path+".warmup", "%v is not within 0 to %v", u.WarmUp, warmup.MaxCold)
	}
	c.checkWarmUpNumber(path+".warmup_per_s", u.WarmUpPerSecond)
	c.checkWarmUpNumber(path+".warmup_overrun", u.WarmUpOverrun)
	c.checkWarmUpNumber(path+".warmup_slack", u.WarmUpSlack)
}

func (c *validator) checkWarmUpNumber(path string, v float64) {
	if !inRange(v, 0, MaxWarmUp) {
		c.add(path, "%v is not within 0 to %d", v, MaxWarmUp)
	}
}

func (c *validator) checkModels() {
	for _, m := range c.doc.Models {
		path := "model." + m.Name
		if m.Replicas < 0 {
			c.add(path+".replicas", "%d is negative", m.Replicas)
		}
		c.checkRange(path+".size_mb", m.SizeMB, MaxSizeMB)
		c.checkLabel(path+".version", m.Version)
		if len(m.Adapters) > MaxAdapters {
			c.add(path+".adapters", "%d entries, at most %d are allowed", len(m.Adapters), MaxAdapters)
		}
		for _, a := range m.Adapters {
			c.checkLabel(path+".adapters", a)
		}
	}
}

func (c *validator) checkWeights() {
	c.checkRange("weights.rate_mb", c.doc.Weights.RateMB, MaxRateMB)
	c.checkRange("weights.loads", c.doc.Weights.MaxConcurrentLoads, MaxLoads)
}

func (c *validator) checkRange(path string, v, limit int) {
	if v < 0 || v > limit {
		c.add(path, "%d is not within 0 to %d", v, limit)
	}
}

func (c *validator) checkLabel(path, text string) {
	if len(text) > maxNameLen || !labelRE.MatchString(text) {
		c.add(path, "%q: up to %d of the characters a-z A-Z 0-9 . _ - are allowed", text, maxNameLen)
	}
}

func (c *validator) checkServices() {
	for _, s := range c.doc.Services {
		path := "service." + s.Name
		if s.Timeout <= 0 {
			c.add(path+".timeout", "%v must be greater than 0", s.Timeout)
		}
		if s.AtMostOnce && s.Retention < 2*s.Timeout {
			c.add(path+".retention", "%v is shorter than two timeouts (%v): a claim could expire while its call is running", s.Retention, 2*s.Timeout)
		}
		if s.QueryPath != "" && !strings.HasPrefix(s.QueryPath, "/") {
			c.add(path+".query_path", "%q does not start with /", s.QueryPath)
		}
	}
}

func (c *validator) checkOperators() {
	writers := 0
	for _, o := range c.doc.Operators {
		c.checkKeyHash("operator."+o.Name+".key_hash", o.KeyHash)
		if !o.ReadOnly {
			writers++
		}
	}
	if writers == 0 {
		c.add("operator", "at least one operator must be allowed to confirm, otherwise nobody could change this intent")
	}
}

func (c *validator) checkKeyHash(path, h string) {
	if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
		c.add(path, "%q is not a SHA-256 digest in hex (comfreyladder hash-key makes one)", h)
	}
}

func inRange(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}
