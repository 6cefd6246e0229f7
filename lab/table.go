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

// dayNames are in the order of the table.
var dayNames = []string{"calm", "heavy", "flood", "grown"}

// days are the loads of the table: of the smaller deployment with 0.6 of the rates,
// with all, and with one team at seven times its usual for a while; and a part of
// the grown one, where the largest team asks for more than the engines give, two
// smaller ones flood, and callers come back.
func days(seed uint64) map[string]Load {
	const length = 30 * time.Second
	load := Load{Sheet: Midlands(), Length: length, Seed: seed}
	calm, heavy, flood := load, load, load
	calm.Scale, heavy.Scale, flood.Scale = 0.6, 1, 1
	flood.Hot = []Hot{{Team: 1, Times: 7, From: length / 4, To: length / 2}}
	return map[string]Load{"calm": calm, "heavy": heavy, "flood": flood, "grown": Grown(seed)}
}

// Grown is a day of floods at the grown deployment.
func Grown(seed uint64) Load {
	const s = time.Second
	return Load{Sheet: GrownVilaine(), Scale: 1, Length: 30 * s, Seed: seed, Returns: 1, Hot: []Hot{
		{Team: 0, Times: 0.02, From: 0, To: 8 * s},
		{Team: 6, Times: 11.6, From: 3500 * time.Millisecond, To: 11400 * time.Millisecond},
		{Team: 2, Times: 3.6, From: 9500 * time.Millisecond, To: 17 * s},
		{Team: 1, Times: 0.05, From: 11500 * time.Millisecond, To: 18400 * time.Millisecond},
		{Team: 11, Times: 12, From: 13500 * time.Millisecond, To: 18500 * time.Millisecond},
	}}
}

// Table plays the days under all policies and prints what callers got.
func Table(out io.Writer, s Shape, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tpolicy\tworth\tof owed\tworst teams\tgap\tsmall teams\ton time\tlate\trefused\tcut\tread again")
	loads := days(seed)
	for _, day := range dayNames {
		for _, p := range Policies() {
			r := Play(loads[day], s.of(day), p)
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
				day, p, r.Worth, r.Owed, r.WorstTeams, r.Gap, r.SmallTeams, r.OnTime, r.Late, r.Refused, r.Cut, r.Reread)
		}
	}
	return Error.Wrap(w.Flush())
}

// of is the fleet that plays a day: the grown one has engines of its own.
func (s Shape) of(day string) Shape {
	if day == "grown" {
		return Shape{Engines: GrownVilaine().EnginesPublished, Routers: s.Routers}
	}
	return s
}
