package lab

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("lab")

// days are the loads of the table: as on the sheet, with 0.6 of the rates, with
// all, and with one team at seven times its usual for a while.
func days(seed uint64) map[string]Load {
	const length = 30 * time.Second
	load := Load{Classes: Midlands(), Length: length, Seed: seed, HotTeam: 1}
	calm, heavy, flood := load, load, load
	calm.Scale, heavy.Scale, flood.Scale = 0.6, 1, 1
	flood.HotTeam, flood.HotFrom, flood.HotTo = 7, length/4, length/2
	return map[string]Load{"calm": calm, "heavy": heavy, "flood": flood}
}

// Table plays the days under all policies and prints what callers got.
func Table(out io.Writer, s Shape, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tpolicy\tworth\tsmall teams\ton time\tlate\trefused\tcut\tread again")
	loads := days(seed)
	for _, day := range []string{"calm", "heavy", "flood"} {
		for _, p := range Policies() {
			r := Play(loads[day], s, p)
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
				day, p, r.Worth, r.SmallTeams, r.OnTime, r.Late, r.Refused, r.Cut, r.Reread)
		}
	}
	return Error.Wrap(w.Flush())
}
