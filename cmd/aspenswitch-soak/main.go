// Command aspenswitch-soak injects seeded faults into router processes on loopback
// and checks the results recorded by callers and upstreams.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/soak"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	cfg := soak.DefaultConfig()
	app := kingpin.New("aspenswitch-soak", "Fault injection into router processes with seeded plans; loopback only.")
	app.Version(version.String())
	app.Flag("daemon", "Path of the router program.").Default("bin/aspenswitchd").StringVar(&cfg.Daemon)
	app.Flag("earlier-daemon", "Path of the router program of an earlier release, which every second router runs until its first restart.").StringVar(&cfg.EarlierDaemon)
	app.Flag("framing-faults", "Inject streams without length or chunks, whole or cut inside an event.").Default("true").BoolVar(&cfg.FramingFaults)
	app.Flag("part-faults", "Inject requests with parts of prompts that crash upstreams.").Default("true").BoolVar(&cfg.PartFaults)
	app.Flag("flood-faults", "Inject floods of connections; overloaded routers leave the load balancer.").Default("true").BoolVar(&cfg.FloodFaults)
	app.Flag("duration", "Duration of fault injection.").Default(cfg.Duration.String()).DurationVar(&cfg.Duration)
	app.Flag("routers", "Router processes per run.").Default(fmt.Sprint(cfg.Routers)).IntVar(&cfg.Routers)
	app.Flag("callers", "Callers per run.").Default(fmt.Sprint(cfg.Callers)).IntVar(&cfg.Callers)
	app.Flag("faults", "Mean number of faults per second.").Default(fmt.Sprint(cfg.Faults)).Float64Var(&cfg.Faults)
	first := app.Flag("first", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	regressions := app.Flag("regressions", "File of seeds that failed before; they are run instead of the range.").ExistingFile()
	jobs := app.Flag("jobs", "Concurrent runs.").Default("2").Int()
	out := app.Flag("out", "Directory for logs and histories of failed runs.").Default("out/soak").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	all, err := runConfigs(cfg, *regressions, *first, *seeds)
	app.FatalIfError(err, "")
	failed, err := runAll(all, *jobs, *out)
	app.FatalIfError(err, "")
	fmt.Printf("%d of %d seeds had violations\n", failed, len(all))
	if failed > 0 {
		os.Exit(1)
	}
}

// runConfigs returns one configuration per run: for the seeds in the regressions file if
// it is set, else for a range of seeds.
func runConfigs(base soak.Config, regressions string, first, seeds uint64) ([]soak.Config, error) {
	var all []soak.Config
	if regressions != "" {
		list, err := soak.LoadRegressions(regressions)
		for _, r := range list {
			all = append(all, r.Config(base))
		}
		return all, err
	}
	for seed := range seeds {
		base.Seed = first + seed
		all = append(all, base)
	}
	return all, nil
}

// runAll executes the runs, at most jobs at a time, and returns the number of runs with
// violations.
func runAll(all []soak.Config, jobs int, out string) (failed int, err error) {
	next := make(chan soak.Config)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for slot := range jobs {
		wg.Go(func() {
			for runCfg := range next {
				runCfg.Slot = slot
				violated, runErr := runSeed(runCfg, out)
				mu.Lock()
				if violated {
					failed++
				}
				if runErr != nil {
					fmt.Printf("seed %d: not run: %v\n", runCfg.Seed, runErr)
					err = runErr
				}
				mu.Unlock()
			}
		})
	}
	for _, cfg := range all {
		next <- cfg
	}
	close(next)
	wg.Wait()
	return failed, err
}

// runSeed executes one run. It keeps the logs and the history only if there were
// violations.
func runSeed(cfg soak.Config, out string) (failed bool, err error) {
	cfg.Dir = filepath.Join(out, fmt.Sprint("seed-", cfg.Seed))
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return false, err
	}
	r, err := soak.Execute(cfg)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d of %d served, %d violations\n", cfg.Seed, len(r.Plan), r.Served, r.Asked, len(r.Violations))
	if len(r.Violations) == 0 {
		return false, os.RemoveAll(cfg.Dir)
	}
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("  %8.3f %s: %s\n", v.At.Seconds(), v.Invariant, v.Detail)
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return true, err
	}
	return true, os.WriteFile(filepath.Join(cfg.Dir, "history.json"), raw, 0o600)
}

// maxPrintedViolations limits the violations printed for a run.
const maxPrintedViolations = 12
