package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("experiment")

// Comparison holds the outcomes of the designs under one load.
type Comparison struct {
	Load     string    `json:"load"`
	Seeds    int       `json:"seeds"`
	Seconds  float64   `json:"seconds"`
	Outcomes []Outcome `json:"outcomes"`
	Ratios   Ratios    `json:"ratios"`

	load Load
}

// Plot draws the fleet's service by team as SVG.
func (c Comparison) Plot(out io.Writer) { Plot(out, c.load, c.Outcomes[1]) }

// Ratios are the values that regression bounds apply to. The first three are ratios of the
// fleet to the omniscient scheduler.
type Ratios struct {
	FairnessGap     float64 `json:"fairness_gap_ratio"`
	MeanFairnessGap float64 `json:"mean_fairness_gap_ratio"`
	Utilisation     float64 `json:"utilisation_ratio"`
	// SmallTeamWait is the p99 wait of small teams while another team floods, divided by their
	// p99 wait without the flood.
	SmallTeamWait float64 `json:"small_team_wait_ratio"`
	ControlBytes  float64 `json:"control_bytes_per_node_per_second"`
	ControlCPU    float64 `json:"control_cpu_fraction"`
}

// Bound limits a value from above, below or both.
type Bound struct {
	Max *float64 `json:"most,omitempty"`
	Min *float64 `json:"least,omitempty"`
}

// Bounds are the regression bounds by load and name of the value.
type Bounds map[string]map[string]Bound

// floodFactor multiplies the demand of the flooding team.
const floodFactor = 8

// Compare measures the fleet, the fixed split and the omniscient scheduler.
func Compare(load func(seed uint64) Load, seeds int) Comparison {
	l := load(1)
	omniscient := RunSeeds(load, seeds, Omniscient())
	split := RunSeeds(load, seeds, FixedSplit())
	fleet := RunSeeds(load, seeds, Fleet(nil))
	calm := RunSeeds(func(s uint64) Load { return load(s).WithFlood(1) }, seeds, Fleet(nil))
	flood := RunSeeds(func(s uint64) Load { return load(s).WithFlood(floodFactor) }, seeds, Fleet(nil))
	calm.Design, flood.Design = "fleet, peak without flood", "fleet, one team floods"
	return Comparison{
		Load: l.Name, load: l, Seeds: seeds, Seconds: l.Duration.Seconds(),
		Outcomes: []Outcome{omniscient, fleet, split, calm, flood},
		Ratios: Ratios{
			FairnessGap:     fleet.Gap / omniscient.Gap,
			MeanFairnessGap: fleet.MeanGap / omniscient.MeanGap,
			Utilisation:     fleet.Utilisation / omniscient.Utilisation,
			SmallTeamWait:   flood.SmallWaitP99 / calm.SmallWaitP99,
			ControlBytes:    fleet.ControlBytes,
			ControlCPU:      fleet.ControlCPU,
		},
	}
}

// Suite runs the comparisons of `make bench`, or the shorter ones of `make bench-quick`.
func Suite(quick bool) []Comparison {
	duration, seeds := 120*time.Second, 8
	if quick {
		duration, seeds = 60*time.Second, 4
	}
	return []Comparison{
		Compare(func(s uint64) Load { return Midlands(s, duration) }, seeds),
		Compare(func(s uint64) Load { return Vilaine(s, duration) }, seeds),
		Compare(func(s uint64) Load { return JustFull(s, duration) }, seeds),
	}
}

// Print writes the comparisons as tables.
func Print(out io.Writer, all []Comparison) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tdesign\tgap\tmean gap\tutilisation\tstrict\tbytes/s\tplain\tmsg/s\tcpu\tsmall p99\t")
	for _, c := range all {
		for _, o := range c.Outcomes {
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.5f\t%.5f\t%.0f\t%.0f\t%.1f\t%.4f\t%.0fms\t\n",
				c.Load, o.Design, o.Gap, o.MeanGap, o.Utilisation, o.StrictUtilisation,
				o.ControlBytes, o.ControlBytesPlain, o.Messages, o.ControlCPU, 1000*o.SmallWaitP99)
		}
	}
	_ = w.Flush()
	for _, c := range all {
		fmt.Fprintf(out, "%s: gap ratio %.2f (mean %.2f), utilisation ratio %.5f, small team wait ratio %.2f, %.0f bytes/s, %.4f of a core\n",
			c.Load, c.Ratios.FairnessGap, c.Ratios.MeanFairnessGap, c.Ratios.Utilisation,
			c.Ratios.SmallTeamWait, c.Ratios.ControlBytes, c.Ratios.ControlCPU)
	}
}

// ReadBounds reads a bounds file.
func ReadBounds(file string) (Bounds, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var b Bounds
	return b, Error.Wrap(json.Unmarshal(raw, &b))
}

// Violations describes every value that is beyond its bound.
func (b Bounds) Violations(all []Comparison) ([]string, error) {
	var violations []string
	for _, c := range all {
		values, err := c.Ratios.values()
		if err != nil {
			return nil, err
		}
		for name, bound := range b[c.Load] {
			value, ok := values[name]
			if !ok {
				return nil, Error.New("bound for unknown value %q", name)
			}
			if bound.Max != nil && value > *bound.Max {
				violations = append(violations, fmt.Sprintf("%s %s is %.4f, at most %.4f", c.Load, name, value, *bound.Max))
			}
			if bound.Min != nil && value < *bound.Min {
				violations = append(violations, fmt.Sprintf("%s %s is %.4f, at least %.4f", c.Load, name, value, *bound.Min))
			}
		}
	}
	slices.Sort(violations)
	return violations, nil
}

// values returns the ratios by their JSON names.
func (r Ratios) values() (map[string]float64, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var values map[string]float64
	return values, Error.Wrap(json.Unmarshal(raw, &values))
}
