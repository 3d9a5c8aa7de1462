package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// percent converts a share to percent.
const percent = 100

// logDone logs and counts the end of a request.
func (s *Service) logDone(r *request, status int, reason string) {
	kind, name := "none", ""
	if r.route != nil {
		kind, name = r.route.Kind.String(), r.route.Name
	}
	took := clock.Since(r.arrived)
	s.count(r, kind, status, reason, took)
	s.countAdmission(r)
	event := "request_done"
	if reason != "" || status >= statusServerError {
		event = "request_failed"
	}
	l := s.cfg.Log.Event(event).Bytes("request", r.id).Str("route", name).Str("kind", kind).Int("status", int64(status)).
		MS("took", took).Int("sent", int64(r.sent)).Int("urgency", int64(r.urgency)).Str("upstream", r.upstream).Int("table", int64(r.table)).Int("view_age", s.viewAgeMS())
	if r.tokens > 0 {
		l.Int("tokens", int64(r.tokens)).Int("unread", int64(r.uncachedTokens)).Int("ahead", int64(r.queuedTokens)).
			Int("predicted", int64(r.predictedMS)).Int("max_ahead", int64(r.maxQueueMS)).MS("first_event", r.firstEventAfter).MS("pause", r.longestPause)
	}
	if r.slots > 0 {
		l.Int("taken", int64(r.taken)).Int("slots", int64(r.slots)).Int("taken_mean_percent", int64(percent*r.meanTaken))
	}
	if r.slotResult != "" {
		l.Str("slot", r.slotResult)
	}
	if a := &r.admission; a.share > 0 && reason != "" {
		l.Int("admitted_percent", int64(percent*a.share)).Int("engines_able", int64(a.availableEngines)).
			Int("engines_asked", int64(a.requiredEngines)).Bool("cached", a.cached)
	}
	if r.fetchFrom != "" {
		l.Str("fetch_from", r.fetchFrom)
	}
	if reason != "" {
		l.Str("reason", reason)
	}
	if r.cachedFingerprint != (quarantine.Fingerprint{}) {
		l.Str("fingerprint", r.cachedFingerprint.String())
	}
	if r.organisation != nil {
		l.Str("organisation", r.organisation.Name)
	}
	l.Err(r.lastErr).End()
}

// viewAgeMS returns the age of the view in milliseconds; -1 if it was not confirmed yet.
func (s *Service) viewAgeMS() int64 {
	age := s.cfg.State.Age()
	if age == follow.NeverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

// count updates the metrics for a finished request. The labels are bounded: there are few kinds and
// statuses, reasons are defined by this package, and organisations and services come from the route
// table.
func (s *Service) count(r *request, kind string, status int, reason string, took time.Duration) {
	s.set.GetOrCreateCounter(`relay_requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	if reason != "" {
		s.set.GetOrCreateCounter(`relay_ended_total{reason="` + metricReason(reason) + `"}`).Inc()
	}
	if status/100 == 2 {
		s.set.GetOrCreateHistogram(`relay_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	}
	if r.firstEventAfter > 0 {
		s.set.GetOrCreateHistogram(`relay_first_event_seconds{service="` + r.service + `"}`).Update(r.firstEventAfter.Seconds())
		s.set.GetOrCreateHistogram(`relay_longest_pause_seconds{service="` + r.service + `"}`).Update(r.longestPause.Seconds())
	}
	if r.organisation != nil {
		s.set.GetOrCreateCounter(`relay_organisation_requests_total{organisation="` + r.organisation.Name + `",status="` + strconv.Itoa(status/100) + `xx"}`).Inc()
	}
}

// countAdmission counts the work that was decided on while there was not enough capacity, in prompt tokens by
// organisation.
func (s *Service) countAdmission(r *request) {
	if a := &r.admission; a.share > 0 {
		result := "admitted"
		if r.shed {
			result = "shed"
		}
		for _, result := range [...]string{"offered", result} {
			s.set.GetOrCreateCounter(`relay_short_capacity_tokens_total{organisation="` + r.organisationName() + `",result="` + result + `"}`).Add(a.work)
		}
	}
}

// metricReason is the part of a reason that does not depend on the request.
func metricReason(reason string) string {
	head, _, _ := strings.Cut(reason, ":")
	if head == "not run" {
		return strings.ReplaceAll(reason, `"`, "")
	}
	return head
}

// slotGauges registers the gauges that show how evenly a service's upstreams are loaded.
func (s *Service) slotGauges(service string) {
	label := `service="` + service + `"`
	s.set.GetOrCreateGauge(`relay_slots_taken{`+label+`,of="mean"}`, func() float64 { return s.fleet.evenness(service).mean })
	s.set.GetOrCreateGauge(`relay_slots_taken{`+label+`,of="busiest"}`, func() float64 { return float64(s.fleet.evenness(service).busiest) })
	s.set.GetOrCreateGauge(`relay_slots_waiting{`+label+`}`, func() float64 { return float64(s.fleet.evenness(service).waiting) })
}

// gauges registers the gauges for the state of this instance.
func (s *Service) gauges() {
	s.set.NewGauge("relay_view_age_seconds", func() float64 { return s.cfg.State.Age().Seconds() })
	s.set.NewGauge("relay_lease_left_seconds", func() float64 { return s.cfg.State.LeaseOf(s.cfg.State.View()).Seconds() })
	s.set.NewGauge("relay_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	s.set.NewGauge(`relay_held_bytes{of="requests"}`, func() float64 { return float64(s.bodies.used.Load()) })
	s.set.NewGauge(`relay_held_bytes{of="responses"}`, func() float64 { return float64(s.answers.used.Load()) })
	s.set.NewGauge("relay_links_cut", func() float64 {
		if s.CutOff() {
			return 1
		}
		return 0
	})
	s.set.NewGauge("relay_cold_upstreams", func() float64 { return float64(s.fleet.coldUpstreams()) })
	s.set.NewGauge("relay_forwarders", func() float64 { return float64(s.cfg.State.View().Forwarders) })
	s.set.NewGauge("relay_upstreams", func() float64 { return float64(s.cfg.State.View().Upstreams.Len()) })
	s.set.NewGauge("relay_table_version", func() float64 {
		if r := s.cfg.State.View().Routes; r != nil {
			return float64(r.Table.Version)
		}
		return 0
	})
}
