package sched

import (
	"slices"
	"time"
)

// InFlight returns the number of grants of each upstream that has any.
func (s *Scheduler) InFlight() map[string]int {
	out := map[string]int{}
	for _, e := range s.engines {
		if e.inFlight > 0 {
			out[e.Name] = e.inFlight
		}
	}
	return out
}

// ClassStatus is a class's backlog, for metrics and the operators' status.
type ClassStatus struct {
	Class  string `codec:"class" json:"class"`
	Queued int    `codec:"queued" json:"queued"`
	// Work is the queued work in weighted tokens.
	Work float64 `codec:"work" json:"work"`
}

// UpstreamStatus is the scheduler's view of one upstream.
type UpstreamStatus struct {
	Name string `codec:"name" json:"name"`
	// Slots is this scheduler's share of the upstream's slots.
	Slots    int `codec:"slots" json:"slots"`
	InFlight int `codec:"in_flight" json:"in_flight"`
	Used     int `codec:"used" json:"used"`
	// Ejected is set for a straggler, Down for an upstream that does not respond.
	Ejected  bool `codec:"aside" json:"aside"`
	Down     bool `codec:"down" json:"down"`
	Draining bool `codec:"draining" json:"draining"`
	// FirstToken is the smoothed time to first token; TokenRate is the smoothed rate of
	// one stream in tokens a second; 0 means unknown.
	FirstToken time.Duration `codec:"first_token" json:"first_token"`
	TokenRate  float64       `codec:"token_rate" json:"token_rate"`
}

// Status is a snapshot of the scheduler.
type Status struct {
	Classes   []ClassStatus    `codec:"classes" json:"classes"`
	Upstreams []UpstreamStatus `codec:"upstreams" json:"upstreams"`
}

// Status returns a snapshot, with classes ordered by tier.
func (s *Scheduler) Status(now time.Time) Status {
	var out Status
	for _, c := range s.classesByTier {
		out.Classes = append(out.Classes, ClassStatus{Class: c.Name, Queued: c.queued, Work: c.work})
	}
	for _, e := range s.engines {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			Name: e.Name, Slots: e.slots, InFlight: e.inFlight, Used: e.estimatedInFlight(now), Ejected: e.ejected, Down: e.down,
			Draining: e.Draining || e.removed, FirstToken: secondsToDuration(e.firstToken), TokenRate: e.tokenRate,
		})
	}
	return out
}

// TicketsOf returns the IDs of an instance's queued and granted tickets.
func (s *Scheduler) TicketsOf(instance string) (queued, granted []string) {
	for id, i := range s.items {
		switch {
		case i.Instance != instance:
		case i.engine == nil:
			queued = append(queued, id)
		default:
			granted = append(granted, id)
		}
	}
	return queued, granted
}

// GrantOf returns the grant of a ticket that was granted here and has not ended, so
// that it can be resent after a lost message.
func (s *Scheduler) GrantOf(id string) (Grant, bool) {
	i := s.items[id]
	if i == nil || i.engine == nil || i.grant.ID == "" {
		return Grant{}, false
	}
	return i.grant, true
}

// DropInstance removes all tickets of an instance that died. Its grants end too, as
// upstreams cancel streams that nobody reads. Queued tickets are removed first, so that
// a freed slot is not granted to the dead instance.
func (s *Scheduler) DropInstance(now time.Time, instance string) []Effect {
	queued, granted := s.TicketsOf(instance)
	slices.Sort(granted)
	var out []Effect
	for _, id := range append(queued, granted...) {
		out = append(out, s.Cancel(now, id)...)
	}
	return out
}
