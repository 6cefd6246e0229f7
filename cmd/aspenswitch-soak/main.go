// Command aspenswitch-soak plays seeded faults against router processes on
// loopback and checks what callers and upstreams saw.
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
	app := kingpin.New("aspenswitch-soak", "Seeded faults against router processes; loopback only.")
	app.Version(version.String())
	app.Flag("daemon", "Program of a router.").Default("bin/aspenswitchd").StringVar(&cfg.Daemon)
	app.Flag("duration", "How long faults come.").Default(cfg.Duration.String()).DurationVar(&cfg.Duration)
	app.Flag("routers", "Router processes of a run.").Default(fmt.Sprint(cfg.Routers)).IntVar(&cfg.Routers)
	app.Flag("callers", "Callers of a run.").Default(fmt.Sprint(cfg.Callers)).IntVar(&cfg.Callers)
	app.Flag("faults", "Mean number of faults a second.").Default(fmt.Sprint(cfg.Faults)).Float64Var(&cfg.Faults)
	first := app.Flag("first", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	known := app.Flag("regressions", "File of seeds that once failed, to be played instead.").ExistingFile()
	jobs := app.Flag("jobs", "Runs at once.").Default("2").Int()
	out := app.Flag("out", "Folder for logs and histories of runs that failed.").Default("out/soak").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	all, err := configs(cfg, *known, *first, *seeds)
	app.FatalIfError(err, "")
	failed, err := play(all, *jobs, *out)
	app.FatalIfError(err, "")
	fmt.Printf("%d of %d seeds broke a promise\n", failed, len(all))
	if failed > 0 {
		os.Exit(1)
	}
}

// configs are the runs to play: the seeds that once failed, or a range.
func configs(base soak.Config, known string, first, seeds uint64) ([]soak.Config, error) {
	var all []soak.Config
	if known != "" {
		list, err := soak.LoadRegressions(known)
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

// play plays the runs, a few at once, and returns how many failed.
func play(all []soak.Config, jobs int, out string) (failed int, err error) {
	next := make(chan soak.Config)
	var runs sync.WaitGroup
	var mu sync.Mutex
	for slot := range jobs {
		runs.Go(func() {
			for one := range next {
				one.Slot = slot
				bad, runErr := playOne(one, out)
				mu.Lock()
				if bad {
					failed++
				}
				if runErr != nil {
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
	runs.Wait()
	return failed, err
}

// playOne runs a seed; logs and history stay only if it failed.
func playOne(cfg soak.Config, out string) (failed bool, err error) {
	cfg.Dir = filepath.Join(out, fmt.Sprint("seed-", cfg.Seed))
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return false, err
	}
	r, err := soak.Execute(cfg)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d of %d served, %d promises broken\n", cfg.Seed, len(r.Plan), r.Served, r.Asked, len(r.Violations))
	if len(r.Violations) == 0 {
		return false, os.RemoveAll(cfg.Dir)
	}
	for i, v := range r.Violations {
		if i == maxShown {
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

// maxShown is how many broken promises of a run are printed.
const maxShown = 12
