// Command aspenswitch-load generates load for a fleet and runs benchmarks and simulations.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/experiment"
	"github.com/aspenswitch/aspenswitch/lab"
	"github.com/aspenswitch/aspenswitch/load"
	"github.com/aspenswitch/aspenswitch/overhead"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitch-load", "Load generator, benchmarks and simulations; loopback only.")
	app.Version(version.String())
	run := app.Command("run", "Send the load of a plan, check every response and print a table.")
	plan := run.Arg("plan", "Plan file, JSON with comments.").Required().ExistingFile()
	out := run.Flag("out", "File for the report as JSON.").String()
	bench := app.Command("bench", "Compare the scheduler core with alternative designs in a seeded simulation in virtual time.")
	quick := bench.Flag("quick", "Use fewer seeds and shorter loads.").Bool()
	bounds := bench.Flag("bounds", "File with regression bounds; the command fails if a figure exceeds its bound.").ExistingFile()
	dir := bench.Flag("out", "Directory for results.").Default("out").String()
	overheadCmd := app.Command("overhead", "Measure the overhead of one router on a stream, on loopback.")
	overheadCfg := overhead.Config{}
	overheadCmd.Flag("streams", "Streams to send directly and through the router, each.").Default("20000").IntVar(&overheadCfg.Streams)
	overheadCmd.Flag("callers", "Concurrent streams.").Default("4").IntVar(&overheadCfg.Callers)
	overheadCmd.Flag("tokens", "Events in each stream.").Default("16").IntVar(&overheadCfg.Tokens)
	labCmd := app.Command("lab", "Simulate daily load on a model of the engines with the real placement and alternative policies.")
	sheet := labCmd.Flag("sheet", "Deployment to simulate, JSON with comments; lab/sheets has examples.").Default("lab/sheets/midlands.json").ExistingFile()
	seed := labCmd.Flag("seed", "Seed of the load.").Default("1").Uint64()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		app.FatalIfError(runPlan(*plan, *out), "")
	case overheadCmd.FullCommand():
		r, err := overhead.Measure(overheadCfg)
		app.FatalIfError(err, "")
		r.Print(os.Stdout)
	case labCmd.FullCommand():
		app.FatalIfError(runLab(*sheet, *seed), "lab")
	case bench.FullCommand():
		app.FatalIfError(runBench(*quick, *bounds, *dir), "bench")
	}
}

func runLab(file string, seed uint64) error {
	sheet, err := lab.ReadSheet(file)
	if err != nil {
		return err
	}
	if err := lab.WriteTable(os.Stdout, sheet, seed); err != nil {
		return err
	}
	fmt.Println()
	return lab.WriteCrashTable(os.Stdout, sheet, seed)
}

func runBench(quick bool, boundsFile, dir string) error {
	comparisons := experiment.Suite(quick)
	experiment.Print(os.Stdout, comparisons)
	if err := writeBench(dir, comparisons); err != nil {
		return err
	}
	if boundsFile == "" {
		return nil
	}
	bounds, err := experiment.ReadBounds(boundsFile)
	if err != nil {
		return err
	}
	exceeded, err := bounds.Violations(comparisons)
	if err != nil {
		return err
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("%d figures exceed their bounds:\n%s", len(exceeded), strings.Join(exceeded, "\n"))
	}
	return nil
}

func writeBench(dir string, comparisons []experiment.Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(comparisons, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	for _, c := range comparisons {
		var plot bytes.Buffer
		c.Plot(&plot)
		if err := os.WriteFile(filepath.Join(dir, c.Load+".svg"), plot.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func runPlan(file, out string) error {
	p, err := load.ReadPlan(file)
	if err != nil {
		return err
	}
	r := load.Run(context.Background(), p)
	r.Print(os.Stdout)
	if out != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(out, data, 0o644); err != nil {
			return err
		}
	}
	if faults := r.Violations(); len(faults) > 0 {
		return fmt.Errorf("%d faults, the first: %s", len(faults), faults[0])
	}
	return nil
}
