package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// appendAnswerHead writes an upstream's status and header fields, without those that
// concern the connection to it and without the empty line.
func appendAnswerHead(b []byte, a *attempt, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.head.Status), 10)
	b = append(append(append(b, ' '), a.head.Reason...), "\r\n"...)
	var listed []byte
	if a.head.Has("Connection") {
		listed = a.head.Get("Connection")
	}
	for i := range a.head.Fields {
		f := &a.head.Fields[i]
		if isHopByHop(f) || len(listed) > 0 && isListed(listed, f.Name) && !isAnswersOwn(a, f) {
			continue
		}
		b = appendField(b, f.Name, f.Value)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// isAnswersOwn reports whether a field is needed by callers whatever is listed.
func isAnswersOwn(a *attempt, f *http1.Field) bool {
	h := &a.s.cfg.Headers
	return f.Is(h.Seal) || f.Is(h.RequestID)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

const lastChunk = "0\r\n\r\n"

func appendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(append(b, "\r\n"...), data...)
	return append(b, "\r\n"...)
}

// count counts a request's end. The labels are bounded: kinds and statuses are few,
// reasons are this package's own, organisations and services those of the table.
func (s *Service) count(r *request, kind string, status int, reason string, took time.Duration) {
	s.set.GetOrCreateCounter(`relay_requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	if reason != "" {
		s.set.GetOrCreateCounter(`relay_ended_total{reason="` + metricReason(reason) + `"}`).Inc()
	}
	if status/100 == 2 {
		s.set.GetOrCreateHistogram(`relay_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	}
	if r.first > 0 {
		s.set.GetOrCreateHistogram(`relay_first_event_seconds{service="` + r.service + `"}`).Update(r.first.Seconds())
		s.set.GetOrCreateHistogram(`relay_longest_pause_seconds{service="` + r.service + `"}`).Update(r.pause.Seconds())
	}
	if r.organisation != nil {
		s.set.GetOrCreateCounter(`relay_organisation_requests_total{organisation="` + r.organisation.Name + `",status="` + strconv.Itoa(status/100) + `xx"}`).Inc()
	}
}

// metricReason is the part of a reason before the details of the case.
func metricReason(reason string) string {
	head, _, _ := strings.Cut(reason, ":")
	if head == "not run" {
		return strings.ReplaceAll(reason, `"`, "")
	}
	return head
}

// gauges are what the instance believes.
func (s *Service) gauges() {
	s.set.NewGauge("relay_view_age_seconds", func() float64 { return s.cfg.State.Age().Seconds() })
	s.set.NewGauge("relay_lease_left_seconds", func() float64 { return s.cfg.State.Lease().Seconds() })
	s.set.NewGauge("relay_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	s.set.NewGauge("relay_forwarders", func() float64 { return float64(s.cfg.State.View().Forwarders) })
	s.set.NewGauge("relay_upstreams", func() float64 { return float64(len(s.cfg.State.View().Upstreams)) })
	s.set.NewGauge("relay_table_version", func() float64 {
		if r := s.cfg.State.View().Routes; r != nil {
			return float64(r.Table.Version)
		}
		return 0
	})
}
