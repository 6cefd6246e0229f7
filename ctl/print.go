package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is the output format of results.
type Format string

// Output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// maxTableRows is the maximum number of routers for which a table has a row for each.
const maxTableRows = 24

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return Error.Wrap(enc.Encode(v))
}

// print writes the overview: first the outliers, then the summary, then each router if
// there are at most maxTableRows.
func (o *Overview) print(out io.Writer, format Format) error {
	if format == JSON {
		return printJSON(out, o)
	}
	fmt.Fprintf(out, "%d routers, %d without an answer, %d differ\n", len(o.Routers), o.unanswered(), len(o.Outliers))
	if len(o.Evacuated) > 0 {
		fmt.Fprintf(out, "evacuated failure domains: %s\n", strings.Join(o.Evacuated, ", "))
	}
	if o.Warming > 0 {
		fmt.Fprintf(out, "%d upstreams are warming up\n", o.Warming)
	}
	if o.Epoch > 0 {
		fmt.Fprintf(out, "epoch of the platform: %d (rises each time it is restored from a copy)\n", o.Epoch)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(o.Software) > 0 {
		fmt.Fprintln(w, "\nservice\tsoftware\tupstreams\tready")
	}
	for _, v := range o.Software {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", v.Service, cmp.Or(v.Version, "unknown"), v.Registered, v.Ready)
	}
	printQuarantined(w, o.Quarantine)
	if len(o.Outliers) > 0 {
		fmt.Fprintln(w, "\nrouter\tdomain\trole\tdiffers")
	}
	for _, r := range o.Outliers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Router, r.FailureDomain, r.Role, strings.Join(r.Reasons, "; "))
	}
	fmt.Fprintln(w, "\ndomain\trole\trouters\tready\twaiting\trunning")
	for _, s := range o.Summary {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", s.FailureDomain, s.Role, s.Routers, s.Ready, s.Waiting, s.Running)
	}
	if len(o.Routers) <= maxTableRows {
		fmt.Fprintln(w, "\nrouter\tdomain\trole\tstate\tversion\tpeers\twaiting\trunning")
		for _, r := range o.Routers {
			if r.Error == "" {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", r.Router, r.FailureDomain, r.Role, r.State, r.Version, r.Peers, r.Waiting, r.Running)
			}
		}
	}
	return Error.Wrap(w.Flush())
}
