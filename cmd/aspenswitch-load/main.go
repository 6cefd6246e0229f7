// Command aspenswitch-load is a fleet's callers and the experiment tool.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/load"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitch-load", "Callers and experiments; loopback only.")
	app.Version(version.String())
	run := app.Command("run", "Send a plan's load, check every answer, print a table.")
	plan := run.Arg("plan", "Plan file, JSON with comments.").Required().ExistingFile()
	out := run.Flag("out", "File for the report as JSON.").String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		app.FatalIfError(runPlan(*plan, *out), "")
	}
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
