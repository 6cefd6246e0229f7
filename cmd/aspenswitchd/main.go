// Command aspenswitchd is the router daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitchd", "Router of the aspenswitch fleet.")
	app.Version(version.String())
	file := app.Flag("settings", "File of settings, JSON with comments.").Short('s').Default("aspenswitch.json").String()
	check := app.Flag("check", "Check the settings, print all findings, and end.").Bool()
	example := app.Flag("print-defaults", "Print a settings file with comments, and end.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *example {
		fmt.Print(settings.Example)
		return
	}
	s, err := settings.Load(*file)
	app.FatalIfError(err, "settings")
	if *check {
		fmt.Println("no findings")
		return
	}
	app.FatalIfError(run(s), "")
}

// run serves until a signal. The first SIGTERM or SIGINT drains, a second ends.
func run(s settings.Settings) error {
	log := obs.NewLog(os.Stderr, s.LogLevel, s.Name)
	d, err := daemon.New(s, log, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.Drain()
		<-signals
		log.Error().Msg("second signal: ending at once")
		cancel()
	}()
	return d.Run(ctx)
}
