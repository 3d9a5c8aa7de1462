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
)

// Limits of a document. They bound the memory that one configuration takes on
// every instance.
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
	maxNameLen       = 64
)

var (
	nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	// labelRE leaves out ":" and "@", which part model, version and adapter in
	// the names that engines are ordered to hold.
	labelRE = regexp.MustCompile(`^[A-Za-z0-9._-]*$`)
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path names the place, such as "class.nurse-review.floor".
	Path string `json:"path" codec:"path"`
	// Detail says what is wrong and what is allowed.
	Detail string `json:"detail" codec:"detail"`
}

// ProblemsError lists all that is wrong with a document.
type ProblemsError struct{ Problems []Problem }

// Error implements error.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Path + ": " + p.Detail
	}
	return strings.Join(lines, "; ")
}

// Fault returns the problems as a failure with code Invalid.
func (e *ProblemsError) Fault() *fault.Error {
	return fault.Wrap(e, fault.Invalid, "%d problems in the intent", len(e.Problems))
}

type checker struct {
	doc      *Document
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// Validate returns nil or a *ProblemsError that lists every problem at once.
func (d *Document) Validate() error {
	c := &checker{doc: d}
	c.names()
	c.classes()
	c.organisations()
	c.upstreams()
	c.models()
	c.weights()
	c.services()
	c.operators()
	if len(c.problems) == 0 {
		return nil
	}
	return &ProblemsError{Problems: c.problems}
}

func (c *checker) names() {
	d := c.doc
	checkNames(c, "class", MaxClasses, d.Classes, func(v Class) string { return v.Name })
	checkNames(c, "organisation", MaxOrganisations, d.Organisations, func(v Organisation) string { return v.Name })
	checkNames(c, "upstream", MaxUpstreams, d.Upstreams, func(v Upstream) string {
		return strings.TrimSuffix(v.Name, "*") + wildMark(v.Name)
	})
	checkNames(c, "model", MaxModels, d.Models, func(v Model) string { return v.Name })
	checkNames(c, "service", MaxServices, d.Services, func(v Service) string { return v.Name })
	checkNames(c, "operator", MaxOperators, d.Operators, func(v Operator) string { return v.Name })
}

// wildMark keeps "a" and "a*" apart while both satisfy the name pattern.
func wildMark(name string) string {
	if strings.HasSuffix(name, "*") {
		return "x"
	}
	return ""
}

func checkNames[T any](c *checker, kind string, most int, list []T, name func(T) string) {
	if len(list) > most {
		c.add(kind, "%d entries, at most %d are allowed", len(list), most)
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

func (c *checker) classes() {
	if len(c.doc.Classes) == 0 {
		c.add("class", "at least one class is needed")
	}
	floors := 0.0
	for _, cl := range c.doc.Classes {
		c.class(cl)
		floors += cl.Floor
	}
	if floors > 1+1e-9 {
		c.add("class", "the floors sum to %.3f, at most 1 is allowed", floors)
	}
	c.protectedFirst()
}

func (c *checker) class(cl Class) {
	path := "class." + cl.Name
	if cl.Tier < 0 || cl.Tier > MaxTier {
		c.add(path+".tier", "%d is not within 0 to %d", cl.Tier, MaxTier)
	}
	if !inRange(cl.Floor, 0, 1) || cl.Floor == 1 {
		c.add(path+".floor", "%v is not within 0 to below 1", cl.Floor)
	}
	if !inRange(cl.Attainment, 0, 1) {
		c.add(path+".attainment", "%v is not within 0 to 1", cl.Attainment)
	}
	if cl.FirstToken < 0 || cl.BetweenTokens < 0 || cl.Total < 0 || cl.Deadline < 0 {
		c.add(path, "a duration is negative")
	}
	if cl.Total > 0 && cl.FirstToken > cl.Total {
		c.add(path+".first_token", "%v is later than the total of %v", cl.FirstToken, cl.Total)
	}
	if cl.Deadline > 0 && max(cl.Total, cl.FirstToken) > cl.Deadline {
		c.add(path+".deadline", "%v is before the service level of %v", cl.Deadline, max(cl.Total, cl.FirstToken))
	}
	if cl.MaxTokens < 0 {
		c.add(path+".max_tokens", "%d is negative", cl.MaxTokens)
	}
}

// protectedFirst refuses a protected class below an unprotected one: the
// unprotected work would go first and could push protected work out.
func (c *checker) protectedFirst() {
	for _, p := range c.doc.Classes {
		for _, u := range c.doc.Classes {
			if p.Protected && !u.Protected && p.Tier >= u.Tier {
				c.add("class."+p.Name+".tier", "protected, but its tier %d is not above tier %d of %q, which is not", p.Tier, u.Tier, u.Name)
			}
		}
	}
}

func (c *checker) organisations() {
	keys := map[string]string{}
	for _, o := range c.doc.Organisations {
		path := "organisation." + o.Name
		if !inRange(o.Weight, 0, 1e6) || o.Weight == 0 {
			c.add(path+".weight", "%v is not within above 0 to 1000000", o.Weight)
		}
		c.knownClasses(path, o)
		for _, s := range o.Services {
			if c.doc.Service(s) == nil {
				c.add(path+".services", "service %q is not declared", s)
			}
		}
		for _, h := range o.KeyHashes {
			c.orgKey(path+".key_hashes", h, o.Name, keys)
		}
	}
}

// orgKey checks one "digest" or "digest@date" and that no other organisation
// has the same key: requests would be charged to whichever came last.
func (c *checker) orgKey(path, text, org string, owners map[string]string) {
	digest, date, dated := strings.Cut(text, "@")
	c.keyHash(path, digest)
	if _, err := time.Parse(time.DateOnly, date); dated && err != nil {
		c.add(path, "%q: the last day of a key is written as 2027-01-31", date)
	}
	if other, dup := owners[digest]; dup {
		c.add(path, "the same key belongs to %q", other)
	}
	owners[digest] = org
}

func (c *checker) knownClasses(path string, o Organisation) {
	for _, name := range o.Classes {
		if c.doc.Class(name) == nil {
			c.add(path+".classes", "class %q is not declared", name)
		}
	}
	if !slices.Contains(o.Classes, o.DefaultClass) {
		c.add(path+".default_class", "%q is not among its classes", o.DefaultClass)
	}
}

func (c *checker) upstreams() {
	for _, u := range c.doc.Upstreams {
		path := "upstream." + u.Name
		if u.Kind != KindEngine && u.Kind != KindService {
			c.add(path+".kind", "%q is neither %q nor %q", u.Kind, KindEngine, KindService)
		}
		c.keyHash(path+".key_hash", u.KeyHash)
		c.within(path+".max_models", u.MaxModels, MaxModels)
		c.label(path+".role", u.Role)
		for _, m := range u.Models {
			if c.doc.Model(m) == nil {
				c.add(path+".models", "model %q is not declared", m)
			}
		}
	}
}

func (c *checker) models() {
	for _, m := range c.doc.Models {
		path := "model." + m.Name
		if m.Replicas < 0 {
			c.add(path+".replicas", "%d is negative", m.Replicas)
		}
		c.within(path+".size_mb", m.SizeMB, MaxSizeMB)
		c.label(path+".version", m.Version)
		if len(m.Adapters) > MaxAdapters {
			c.add(path+".adapters", "%d entries, at most %d are allowed", len(m.Adapters), MaxAdapters)
		}
		for _, a := range m.Adapters {
			c.label(path+".adapters", a)
		}
	}
}

func (c *checker) weights() {
	c.within("weights.rate_mb", c.doc.Weights.RateMB, MaxRateMB)
	c.within("weights.loads", c.doc.Weights.Loads, MaxLoads)
}

func (c *checker) within(path string, v, most int) {
	if v < 0 || v > most {
		c.add(path, "%d is not within 0 to %d", v, most)
	}
}

func (c *checker) label(path, text string) {
	if len(text) > maxNameLen || !labelRE.MatchString(text) {
		c.add(path, "%q: up to %d of the characters a-z A-Z 0-9 . _ - are allowed", text, maxNameLen)
	}
}

func (c *checker) services() {
	for _, s := range c.doc.Services {
		path := "service." + s.Name
		if s.Timeout <= 0 {
			c.add(path+".timeout", "%v is not above 0", s.Timeout)
		}
		if s.AtMostOnce && s.Retention < 2*s.Timeout {
			c.add(path+".retention", "%v is shorter than two timeouts (%v): a claim could end while its call runs", s.Retention, 2*s.Timeout)
		}
		if s.QueryPath != "" && !strings.HasPrefix(s.QueryPath, "/") {
			c.add(path+".query_path", "%q does not start with /", s.QueryPath)
		}
	}
}

func (c *checker) operators() {
	writers := 0
	for _, o := range c.doc.Operators {
		c.keyHash("operator."+o.Name+".key_hash", o.KeyHash)
		if !o.ReadOnly {
			writers++
		}
	}
	if writers == 0 {
		c.add("operator", "at least one operator that may confirm is needed, or nobody could change this intent")
	}
}

func (c *checker) keyHash(path, h string) {
	if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
		c.add(path, "%q is not a SHA-256 digest in hex (comfreyladder hash-key makes one)", h)
	}
}

func inRange(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}
