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

// day is a load with the deployment that plays it.
type day struct {
	name  string
	sheet *Sheet
	load  Load
}

// days are the loads of the table: the sheet with 0.6 of its rates, with all, and with
// one team at seven times its usual for a while.
func days(sheet *Sheet, seed uint64) []day {
	const length = 30 * time.Second
	load := Load{Sheet: sheet, Duration: length, Seed: seed}
	calm, heavy, flood := load, load, load
	calm.Scale, heavy.Scale, flood.Scale = 0.6, 1, 1
	flood.Surges = []Surge{{Team: 1, Factor: 7, From: length / 4, To: length / 2}}
	return []day{{"calm", sheet, calm}, {"heavy", sheet, heavy}, {"flood", sheet, flood}}
}

// grownParts is how many homes decide for the grown deployment's engines; the lab
// plays one home's part.
const grownParts = 4

// GrownLoad is a day of floods at one home's part of a grown deployment: the largest team
// asks for more than the engines give, two smaller ones flood, and callers come back.
func GrownLoad(seed uint64) Load {
	const s = time.Second
	return Load{Sheet: BuiltinSheet("vilaine-grown").PerHome(grownParts), Scale: 1, Duration: 30 * s, Seed: seed, MaxRetries: 1, Surges: []Surge{
		{Team: 0, Factor: 0.02, From: 0, To: 8 * s},
		{Team: 6, Factor: 11.6, From: 3500 * time.Millisecond, To: 11400 * time.Millisecond},
		{Team: 2, Factor: 3.6, From: 9500 * time.Millisecond, To: 17 * s},
		{Team: 1, Factor: 0.05, From: 11500 * time.Millisecond, To: 18400 * time.Millisecond},
		{Team: 11, Factor: 12, From: 13500 * time.Millisecond, To: 18500 * time.Millisecond},
	}}
}

// WriteTable plays a sheet's days, and the grown one, under all policies and prints what
// callers got.
func WriteTable(out io.Writer, sheet *Sheet, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tpolicy\tworth\tof owed\tworst teams\tgap\tsmall teams\ton time\tlate\trefused\tcut\tread again")
	grown := GrownLoad(seed)
	for _, d := range append(days(sheet, seed), day{"grown", grown.Sheet, grown}) {
		for _, p := range Policies() {
			r := Simulate(d.load, d.sheet.Fleet(), p)
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
				d.name, p, r.Worth, r.FairShareWorth, r.WorstTeamsWorth, r.FairnessRatio, r.SmallTeamsWorth, r.OnTime, r.Late, r.Refused, r.TimedOut, r.RedundantPrefill)
		}
	}
	return Error.Wrap(w.Flush())
}
