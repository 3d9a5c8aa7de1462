// Package show formats responses of the administration API as text.
package show

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// Plan prints the changes that a plan would make.
func Plan(w io.Writer, p *admin.Plan) {
	if len(p.Changes) == 0 {
		fmt.Fprintf(w, "Nothing would change; revision %d is in force.\n", p.Base)
		return
	}
	fmt.Fprintf(w, "Seen from revision %d, %d entries would change:\n", p.Base, len(p.Changes))
	for _, ch := range p.Changes {
		fmt.Fprintf(w, "  %-8s %s\n", ch.Kind, ch.Path)
		for _, f := range ch.Fields {
			fmt.Fprintf(w, "           %s: %v -> %v\n", f.Field, f.From, f.To)
		}
	}
	fmt.Fprintf(w, "Put it in force with: comfreyladder confirm --base %d --number N FILE\n", p.Base)
}

// Status prints the status of the system as seen by one instance.
func Status(w io.Writer, s *admin.Status) {
	lease := "known to be the newest"
	if !s.LeaseValid {
		lease = "MAY BE OLD: the configuration lease has run out"
	}
	fmt.Fprintf(w, "%s in %s acts on revision %d, %s.\n%d requests in flight. Control leader: %s. Scheduler of %s: %s; this instance: %s.\n\n",
		s.Instance, s.Domain, s.Revision, lease, s.InFlight, orNone(s.Leader), s.Domain, orNone(s.Scheduler), orNone(s.SchedulesAs))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tLIVE\tREVISION\tLAG\tSILENT SINCE")
	for _, d := range s.Domains {
		silent := "-"
		if d.SilentSince != nil {
			silent = d.SilentSince.Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", d.Name, d.Live, d.Revision, d.Lag, silent)
	}
	fmt.Fprintln(t, "\nINSTANCE\tDOMAIN\tSTATE\tROLE\tREVISION")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", i.Name, i.Domain, i.State, i.Role, i.Revision)
	}
	fmt.Fprintln(t, "\nUPSTREAM\tKIND\tSTATE\tIN FLIGHT\tSLOTS\tHEARD\tMODELS")
	for _, u := range s.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d ms ago\t%s\n", u.Name, u.Kind, u.State, u.InFlight, u.Slots, u.AgeMS, strings.Join(u.Models, " "))
	}
	printOrders(t, &s.Orders)
	_ = t.Flush()
}

// printOrders prints the models that the engines are ordered to hold.
func printOrders(w io.Writer, o *admin.OrdersStatus) {
	if len(o.Models) == 0 {
		fmt.Fprintf(w, "\nEngines are ordered by: %s. How they stand is not known yet, or the intent names no models.\n", orNone(o.Issuer))
		return
	}
	lease := "there is nothing to order"
	if o.Fence > 0 {
		lease = fmt.Sprintf("fencing number %d, lease until %s", o.Fence, o.LeaseUntil.Format(time.RFC3339))
	}
	if o.SettledAt != nil {
		lease += "; engines that ignore the number wait until " + o.SettledAt.Format(time.RFC3339)
	}
	fmt.Fprintf(w, "\nEngines are ordered by: %s; %s.\n", o.Issuer, lease)
	fmt.Fprintln(w, "\nMODEL\tWANTED\tHOLDING\tLOADING\tSERVING\tNOTE")
	for _, m := range o.Models {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", m.Name, m.Wanted, m.Holding, m.Loading, m.Serving, m.Note)
	}
	fmt.Fprintln(w, "\nENGINE\tSTANDING\tFENCE\tWANTED")
	for _, e := range o.Engines {
		fence := strconv.FormatUint(e.Fence, 10)
		if !e.ChecksFence {
			fence += " (ignores it)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Name, e.Condition, fence, strings.Join(e.Wanted, " "))
	}
}

func orNone(s string) string {
	if s == "" {
		return "none known"
	}
	return s
}

// Explanation prints the outcome and the events of a request.
func Explanation(w io.Writer, e *admin.Explanation) {
	outcome := e.Outcome
	if outcome == "" {
		outcome = "still running"
	}
	fmt.Fprintf(w, "%s: %s, %d tokens. Class %s of %s, model %s, arrived %s.\n",
		e.ID, outcome, e.Tokens, e.Class, e.Organisation, e.Model, e.Arrived.Format(time.RFC3339Nano))
	for _, ev := range e.Events {
		fmt.Fprintf(w, "  %9.1f ms  %s\n", ev.AtMillis, ev.Text)
	}
}
