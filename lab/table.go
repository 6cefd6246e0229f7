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

// scenario is a load and the deployment that it runs on.
type scenario struct {
	name  string
	sheet *Sheet
	load  Load
}

// scenarios returns the loads of the table: 0.6 of the sheet's rates, the full rates, and the
// full rates with one team at seven times its base rate for a while.
func scenarios(sheet *Sheet, seed uint64) []scenario {
	const length = 30 * time.Second
	load := Load{Sheet: sheet, Duration: length, Seed: seed}
	calm, heavy, flood := load, load, load
	calm.Scale, heavy.Scale, flood.Scale = 0.6, 1, 1
	flood.Surges = []Surge{{Team: 1, Factor: 7, From: length / 4, To: length / 2}}
	return []scenario{{"calm", sheet, calm}, {"heavy", sheet, heavy}, {"flood", sheet, flood}}
}

// grownHomes is the number of homes that divide the grown deployment's engines; one home's
// share is simulated.
const grownHomes = 4

// GrownLoad is a load with floods on one home's share of a grown deployment: the largest team
// requests more than the engines can serve, two smaller ones flood, and refused callers retry.
func GrownLoad(seed uint64) Load {
	const s = time.Second
	return Load{Sheet: BuiltinSheet("vilaine-grown").PerHome(grownHomes), Scale: 1, Duration: 30 * s, Seed: seed, MaxRetries: 1, Surges: []Surge{
		{Team: 0, Factor: 0.02, From: 0, To: 8 * s},
		{Team: 6, Factor: 11.6, From: 3500 * time.Millisecond, To: 11400 * time.Millisecond},
		{Team: 2, Factor: 3.6, From: 9500 * time.Millisecond, To: 17 * s},
		{Team: 1, Factor: 0.05, From: 11500 * time.Millisecond, To: 18400 * time.Millisecond},
		{Team: 11, Factor: 12, From: 13500 * time.Millisecond, To: 18500 * time.Millisecond},
	}}
}

// WriteTable runs a sheet's scenarios and the grown one under all policies and writes the
// results as a table.
func WriteTable(out io.Writer, sheet *Sheet, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tpolicy\tworth\tof owed\tworst teams\tgap\tsmall teams\ton time\tlate\trefused\tcut\tread again")
	grown := GrownLoad(seed)
	for _, sc := range append(scenarios(sheet, seed), scenario{"grown", grown.Sheet, grown}) {
		for _, p := range Policies() {
			r := Simulate(sc.load, sc.sheet.Fleet(), p)
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
				sc.name, p, r.Worth, r.FairShareWorth, r.WorstTeamsWorth, r.FairnessRatio, r.SmallTeamsWorth, r.OnTime, r.Late, r.Refused, r.TimedOut, r.RedundantPrefill)
		}
	}
	return Error.Wrap(w.Flush())
}
