package intent

import (
	"strings"
	"time"
)

// Class returns the class with the given name, or nil.
func (d *Document) Class(name string) *Class {
	return findByName(d.Classes, name, func(c *Class) string { return c.Name })
}

// Organisation returns the organisation with the given name, or nil.
func (d *Document) Organisation(name string) *Organisation {
	return findByName(d.Organisations, name, func(o *Organisation) string { return o.Name })
}

// Model returns the model with the given name, or nil.
func (d *Document) Model(name string) *Model {
	return findByName(d.Models, name, func(m *Model) string { return m.Name })
}

// Service returns the plain service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	return findByName(d.Services, name, func(s *Service) string { return s.Name })
}

// UpstreamRule returns the rule that applies to the upstream with the given name, or nil.
// An exact name takes precedence over a prefix, and a longer prefix over a shorter one.
func (d *Document) UpstreamRule(name string) *Upstream {
	var best *Upstream
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		if u.Name == name {
			return u
		}
		prefix, wild := strings.CutSuffix(u.Name, "*")
		if !wild || !strings.HasPrefix(name, prefix) {
			continue
		}
		if best == nil || len(u.Name) > len(best.Name) {
			best = u
		}
	}
	return best
}

func findByName[T any](list []T, name string, key func(*T) string) *T {
	for i := range list {
		if key(&list[i]) == name {
			return &list[i]
		}
	}
	return nil
}

// SplitKeyHash splits "digest@2027-01-31" into the digest and the end of that day (UTC),
// when the key expires. Without a date, expires is zero.
func SplitKeyHash(text string) (digest string, expires time.Time) {
	digest, date, dated := strings.Cut(text, "@")
	if !dated {
		return digest, time.Time{}
	}
	day, err := time.Parse(time.DateOnly, date)
	if err != nil {
		return digest, time.Unix(0, 1)
	}
	return digest, day.AddDate(0, 0, 1)
}
