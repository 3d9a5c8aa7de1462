// Package tryout runs an entry instance with stand-ins of its upstreams in one process, and
// demonstrates what it does for each of the first two users.
package tryout

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
)

// scenario describes the demo for one user.
type scenario struct {
	user, domain, organisation, class, model, question, service string
	// changedClass is the class whose floor the demo's intent changes.
	changedClass string
	// atMostOnce is true if a call of the service must not run more than once.
	atMostOnce bool
}

var scenarios = []scenario{
	{
		user: "bagmati", domain: "lalitpur-hall", organisation: "district-clinic", class: "nurse-review", model: "sleep-summary",
		question: "Review the last month of sleep of resident 4711 before the home visit.", service: "gateway", changedClass: "band-status",
	},
	{
		user: "lanyang", domain: "neihu-hall", organisation: "firm-01", class: "technician-answer", model: "dishdesk-reports",
		question: "The dish shows 4 dB too little on the northern satellite. Which screw first?", service: "booking", changedClass: "report-draft", atMostOnce: true,
	},
}

// Run runs the scenarios of both users, prints their course to w and returns the first failure.
func Run(w io.Writer) error {
	for _, s := range scenarios {
		if err := s.run(w); err != nil {
			return err
		}
	}
	fmt.Fprintln(w, "All went as it should.")
	return nil
}

func (s scenario) run(w io.Writer) error {
	fmt.Fprintf(w, "== %s: one instance in %s, two stand-in engines, one plain service, in one process\n", s.user, s.domain)
	st, err := newEnvironment(s)
	if err != nil {
		return err
	}
	defer st.close()
	if err := st.start(); err != nil {
		return err
	}
	id, err := s.sendChat(w, st)
	if err != nil {
		return err
	}
	if err := s.callTwice(w, st); err != nil {
		return err
	}
	if err := s.changeIntent(w, st); err != nil {
		return err
	}
	op := st.operatorClient()
	e, err := op.Explain(id)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "-- explain: what became of the request, and why")
	show.Explanation(w, e)
	fmt.Fprintln(w, "-- status")
	status, err := op.Status()
	if err != nil {
		return err
	}
	show.Status(w, status)
	return st.stop(w)
}

func (s scenario) sendChat(w io.Writer, st *environment) (string, error) {
	fmt.Fprintf(w, "-- %s asks as class %s: %s\n   ", s.organisation, s.class, s.question)
	got, err := st.streamAnswer(s, func(text string) { fmt.Fprint(w, text) })
	if err != nil {
		return "", err
	}
	fmt.Fprintf(w, "\n   whole answer: %d tokens, first after %v, all after %v\n",
		got.tokens, got.first.Round(time.Millisecond), got.total.Round(time.Millisecond))
	return got.id, nil
}

func (s scenario) callTwice(w io.Writer, st *environment) error {
	fmt.Fprintf(w, "-- %s calls service %s twice under one Idempotency-Key\n", s.organisation, s.service)
	for range 2 {
		status, body, err := st.callService(s)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "   %d %s\n", status, body)
	}
	effects := st.effects()
	if !s.atMostOnce {
		fmt.Fprintf(w, "   the service ran it %d times: its calls may be repeated\n", effects)
		return nil
	}
	fmt.Fprintf(w, "   the service ran it %d time(s): its calls may run at most once\n", effects)
	if effects != 1 {
		return fault.New(fault.Internal, "a call that may run at most once ran %d times", effects)
	}
	return nil
}

func (s scenario) changeIntent(w io.Writer, st *environment) error {
	op := st.operatorClient()
	before, err := op.Intent()
	if err != nil {
		return err
	}
	next := *before.Document
	next.Classes = append([]intent.Class(nil), next.Classes...)
	for i := range next.Classes {
		if next.Classes[i].Name == s.changedClass {
			next.Classes[i].Floor += 0.05
		}
	}
	p, err := op.Plan(&next)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "-- the operator plans a change and confirms it")
	show.Plan(w, p)
	done, err := op.Confirm(&admin.ConfirmRequest{Number: 1, Base: p.Base, Document: &next})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "   accepted as revision %d\n", done.Revision)
	return st.waitRevision(op, done.Revision)
}

func (st *environment) waitRevision(op *client.Client, revision uint64) error {
	return st.wait("the new revision to be in force", func() bool {
		s, err := op.Status()
		return err == nil && s.Revision >= revision
	})
}

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

func (st *environment) wait(what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, "waited %v for %s", waitTimeout, what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
