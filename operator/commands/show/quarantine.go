package show

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/quarantine"
)

// Quarantine prints the quarantined and suspected requests and parts of prompts.
func Quarantine(w io.Writer, v *quarantine.View) {
	if len(v.Requests) == 0 {
		fmt.Fprintln(w, "Nothing is quarantined or suspected.")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FINGERPRINT\tSTATE\tPARTS\tORGANISATION\tTARGET\tCRASHES\tSINCE\tTRIALS\tFAILED")
	for _, r := range v.Requests {
		since := "-"
		if !r.Since.IsZero() {
			since = r.Since.Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%t\n", r.Fingerprint, r.State, orNone(strings.Join(r.Parts, ",")), orNone(r.Organisation), r.Target, r.Crashes, since, r.Trials, r.Failed)
	}
	_ = t.Flush()
}
