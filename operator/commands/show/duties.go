package show

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/duty"
)

// Duties prints the status of the duties: their holder, the usage windows and the orders of
// upstreams.
func Duties(w io.Writer, v *duty.View) {
	fmt.Fprintf(w, "%s: the duties are held by %s.", v.Instance, orNone(v.Holder))
	if v.Number > 0 {
		fmt.Fprintf(w, " It holds them itself, under number %d for %d ms more.", v.Number, v.LeaseLeftMS)
	}
	if v.UnreachableMS > 0 {
		fmt.Fprintf(w, " The provider can't be reached from here for %d ms.", v.UnreachableMS)
	}
	if v.DryRun {
		fmt.Fprint(w, " Upstreams are planned, and none is ordered: dry_run is on.")
	}
	fmt.Fprint(w, "\n\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WINDOW\tBEGINS\tREPORT\tREQUESTS\tORGANISATIONS\tINSTANCES\tNOT HEARD\tTOO LATE")
	for i := range v.Windows {
		x := &v.Windows[i]
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", x.Window, x.StartsAt.Format(time.RFC3339), windowState(x), x.Requests,
			len(x.Organisations), x.Instances, x.Missing, x.Late)
	}
	if len(v.Orders) > 0 {
		fmt.Fprintln(t, "\nSERVICE\tDOMAIN\tKIND\tWANTED\tORDERED\tREADY\tLATEST FAILURE")
	}
	for _, o := range v.Orders {
		kind := "standard"
		if o.Preemptible {
			kind = "preemptible"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", o.Service, o.Domain, kind, o.Wanted, o.Accepted, o.Ready, cmp.Or(o.Failed, "-"))
	}
	_ = t.Flush()
}

// windowState returns the state of a window's report.
func windowState(x *duty.WindowView) string {
	if x.Overdue {
		return "OVERDUE"
	}
	return x.State
}

// Window prints the report of one window.
func Window(w io.Writer, x *duty.WindowView) {
	fmt.Fprintf(w, "window %d, from %s: %s, %d requests. %d instances told of it", x.Window, x.StartsAt.Format(time.RFC3339), windowState(x), x.Requests, x.Instances)
	if x.Missing > 0 || x.Late > 0 {
		fmt.Fprintf(w, "; %d had not told all when it was closed, and %d requests were told after that", x.Missing, x.Late)
	}
	fmt.Fprint(w, ".\n\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ORGANISATION\tREQUESTS")
	for _, name := range slices.Sorted(maps.Keys(x.Organisations)) {
		fmt.Fprintf(t, "%s\t%d\n", name, x.Organisations[name])
	}
	_ = t.Flush()
}
