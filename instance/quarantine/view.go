package quarantine

import (
	"context"
	"time"

	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Path is the HTTP path at which a member serves its View to operators. A DELETE of this path with a
// fingerprint appended releases a request.
const Path = "/v1/operator/quarantine"

// The states of a request in a RequestView.
const (
	StateSuspected   = "suspected"
	StateQuarantined = "quarantined"
)

// View is the quarantine list in JSON for operators.
type View struct {
	Requests []RequestView `json:"requests"`
}

// RequestView is one request, or one set of parts of prompts, in the list.
type RequestView struct {
	Fingerprint string `json:"fingerprint"`
	// Parts are the fingerprints of the parts of prompts that are quarantined together, or of the one that is
	// suspected; none for a request. Organisation and Target are then those of the latest request with them.
	Parts        []string `json:"parts,omitempty"`
	State        string   `json:"state"`
	Organisation string   `json:"organisation,omitempty"`
	Target       string   `json:"target,omitempty"`
	// Crashes is the number of crashes at which the request was in flight.
	Crashes int `json:"crashes"`
	// Since is when the request was quarantined.
	Since time.Time `json:"since,omitzero"`
	// Trials is the number of times that the request was run since, to test whether it still crashes its
	// upstream. Failed reports that it did.
	Trials int  `json:"trials,omitempty"`
	Failed bool `json:"failed,omitempty"`
}

// List returns the list after a quorum confirmed that it is the newest. It fails with
// fault.Unavailable.
func (s *Service) List(ctx context.Context) (*View, error) {
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := g.Read(ctx); err != nil {
		return nil, err
	}
	v := &View{Requests: []RequestView{}}
	viewMachine(g, func(m *state.Machine) {
		for _, e := range m.Entries() {
			if e.Released {
				continue
			}
			v.Requests = append(v.Requests, RequestView{
				Fingerprint: e.Fingerprint.String(), Parts: texts(e.Parts), State: StateQuarantined, Organisation: e.Organisation, Target: e.Target, Crashes: e.Crashes,
				Since: time.Unix(0, e.Since).UTC(), Trials: e.Trials, Failed: e.Failed,
			})
		}
		for _, f := range m.Suspects() {
			r := RequestView{Fingerprint: f.String(), State: StateSuspected}
			r.Organisation, r.Target, r.Crashes = m.Describe(f)
			v.Requests = append(v.Requests, r)
		}
		for _, f := range m.SuspectedParts() {
			r := RequestView{Fingerprint: f.String(), Parts: []string{f.String()}, State: StateSuspected}
			r.Organisation, r.Target, r.Crashes = m.DescribePart(f)
			v.Requests = append(v.Requests, r)
		}
	})
	return v, nil
}

func texts(list []quarantine.Fingerprint) (names []string) {
	for _, f := range list {
		names = append(names, f.String())
	}
	return names
}
