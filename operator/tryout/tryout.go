// Package tryout runs an entry instance with stand-ins of its upstreams in one
// process and shows what it does for each of the two first users.
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

// scene is what the demo does for one user.
type scene struct {
	user, domain, organisation, class, model, question, service string
	// raise is the class whose floor the demo's intent changes.
	raise string
	// atMostOnce says that the service's calls may not be repeated.
	atMostOnce bool
}

var scenes = []scene{
	{
		user: "bagmati", domain: "lalitpur-hall", organisation: "district-clinic", class: "nurse-review", model: "sleep-summary",
		question: "Review the last month of sleep of resident 4711 before the home visit.", service: "gateway", raise: "band-status",
	},
	{
		user: "lanyang", domain: "neihu-hall", organisation: "firm-01", class: "technician-answer", model: "dishdesk-reports",
		question: "The dish shows 4 dB too little on the northern satellite. Which screw first?", service: "booking", raise: "report-draft", atMostOnce: true,
	},
}

// Run shows both users' scenes on w and returns the first failure.
func Run(w io.Writer) error {
	for _, s := range scenes {
		if err := s.run(w); err != nil {
			return err
		}
	}
	fmt.Fprintln(w, "All went as it should.")
	return nil
}

func (s scene) run(w io.Writer) error {
	fmt.Fprintf(w, "== %s: one instance in %s, two stand-in engines, one plain service, in one process\n", s.user, s.domain)
	st, err := newStage(s)
	if err != nil {
		return err
	}
	defer st.close()
	if err := st.start(); err != nil {
		return err
	}
	id, err := s.ask(w, st)
	if err != nil {
		return err
	}
	if err := s.callTwice(w, st); err != nil {
		return err
	}
	if err := s.change(w, st); err != nil {
		return err
	}
	op := st.operator()
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

func (s scene) ask(w io.Writer, st *stage) (string, error) {
	fmt.Fprintf(w, "-- %s asks as class %s: %s\n   ", s.organisation, s.class, s.question)
	got, err := st.stream(s, func(text string) { fmt.Fprint(w, text) })
	if err != nil {
		return "", err
	}
	fmt.Fprintf(w, "\n   whole answer: %d tokens, first after %v, all after %v\n",
		got.tokens, got.first.Round(time.Millisecond), got.total.Round(time.Millisecond))
	return got.id, nil
}

func (s scene) callTwice(w io.Writer, st *stage) error {
	fmt.Fprintf(w, "-- %s calls service %s twice under one Idempotency-Key\n", s.organisation, s.service)
	for range 2 {
		status, body, err := st.book(s)
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

func (s scene) change(w io.Writer, st *stage) error {
	op := st.operator()
	before, err := op.Intent()
	if err != nil {
		return err
	}
	next := *before.Document
	next.Classes = append([]intent.Class(nil), next.Classes...)
	for i := range next.Classes {
		if next.Classes[i].Name == s.raise {
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

func (st *stage) waitRevision(op *client.Client, revision uint64) error {
	return st.wait("the new revision to be in force", func() bool {
		s, err := op.Status()
		return err == nil && s.Revision >= revision
	})
}

const (
	waitLimit = 20 * time.Second
	waitStep  = 20 * time.Millisecond
)

func (st *stage) wait(what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, "waited %v for %s", waitLimit, what)
		case <-time.After(waitStep):
		}
	}
	return nil
}
