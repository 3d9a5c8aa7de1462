package intent

import (
	"strings"
	"time"
)

// Class returns the class with the given name, or nil.
func (d *Document) Class(name string) *Class {
	return find(d.Classes, name, func(c *Class) string { return c.Name })
}

// Organisation returns the organisation with the given name, or nil.
func (d *Document) Organisation(name string) *Organisation {
	return find(d.Organisations, name, func(o *Organisation) string { return o.Name })
}

// Model returns the model with the given name, or nil.
func (d *Document) Model(name string) *Model {
	return find(d.Models, name, func(m *Model) string { return m.Name })
}

// Service returns the plain service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	return find(d.Services, name, func(s *Service) string { return s.Name })
}

// UpstreamRule returns the rule that covers the upstream with the given name, or nil.
// An exact rule goes before a prefix, and a longer prefix before a shorter one.
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

func find[T any](list []T, name string, key func(*T) string) *T {
	for i := range list {
		if key(&list[i]) == name {
			return &list[i]
		}
	}
	return nil
}

// SplitKeyHash splits "digest@2027-01-31" into the digest and the end of the
// day (UTC) until which the key is valid. Without a date the time is zero.
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
