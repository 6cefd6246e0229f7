// Command aspenswitch-load is a fleet's callers and the experiment tool.
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
	app := kingpin.New("aspenswitch-load", "Callers and experiments; loopback only.")
	app.Version(version.String())
	run := app.Command("run", "Send a plan's load, check every answer, print a table.")
	plan := run.Arg("plan", "Plan file, JSON with comments.").Required().ExistingFile()
	out := run.Flag("out", "File for the report as JSON.").String()
	bench := app.Command("bench", "Measure the scheduler core against its rivals, seeded, in virtual time.")
	quick := bench.Flag("quick", "Fewer seeds, shorter loads.").Bool()
	bounds := bench.Flag("bounds", "Regression bounds; a figure beyond its bound fails.").ExistingFile()
	dir := bench.Flag("out", "Folder for results.").Default("out").String()
	over := app.Command("overhead", "Measure what one router adds to a stream, on loopback.")
	size := overhead.Config{}
	over.Flag("streams", "Streams to send each way.").Default("20000").IntVar(&size.Streams)
	over.Flag("callers", "Streams at once.").Default("4").IntVar(&size.Callers)
	over.Flag("tokens", "Events of each stream.").Default("16").IntVar(&size.Tokens)
	table := app.Command("lab", "Play days over a model of the engines under the real placing and its rivals.")
	sheet := table.Flag("sheet", "Deployment to play, JSON with comments; lab/sheets has examples.").Default("lab/sheets/midlands.json").ExistingFile()
	seed := table.Flag("seed", "Seed of the load.").Default("1").Uint64()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		app.FatalIfError(runPlan(*plan, *out), "")
	case over.FullCommand():
		r, err := overhead.Measure(size)
		app.FatalIfError(err, "")
		r.Print(os.Stdout)
	case table.FullCommand():
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
	return lab.WriteTable(os.Stdout, sheet, seed)
}

func runBench(quick bool, boundsFile, dir string) error {
	all := experiment.Suite(quick)
	experiment.Print(os.Stdout, all)
	if err := writeBench(dir, all); err != nil {
		return err
	}
	if boundsFile == "" {
		return nil
	}
	bounds, err := experiment.ReadBounds(boundsFile)
	if err != nil {
		return err
	}
	beyond, err := bounds.Violations(all)
	if err != nil {
		return err
	}
	if len(beyond) > 0 {
		return fmt.Errorf("%d figures beyond their bounds:\n%s", len(beyond), strings.Join(beyond, "\n"))
	}
	return nil
}

func writeBench(dir string, all []experiment.Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	for _, c := range all {
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
	if faults := r.Faults(); len(faults) > 0 {
		return fmt.Errorf("%d faults, the first: %s", len(faults), faults[0])
	}
	return nil
}
