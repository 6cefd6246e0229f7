// Command aspenswitchd is the router daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitchd", "Router of an aspenswitch fleet.")
	app.Version(version.String())
	file := app.Flag("settings", "Settings file, JSON with comments.").Short('s').
		Envar("ASPENSWITCH_SETTINGS").Default("aspenswitch.json").String()
	check := app.Flag("check", "Check the settings, print all findings and exit.").Bool()
	serve := app.Command("serve", "Serve the product's own API with signed bundles.").Default()
	example := serve.Flag("print-defaults", "Print a settings file with comments and exit.").Bool()
	platform := app.Command("platform", "Serve on a platform that publishes configuration and upstreams.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	var err error
	switch {
	case command == platform.FullCommand():
		err = runFleet(*file, *check)
	case *example:
		fmt.Print(settings.Example)
	default:
		err = runServe(*file, *check)
	}
	app.FatalIfError(err, "")
}

// runServe loads the settings and serves the product's own API until a signal. With
// check it only validates the settings.
func runServe(file string, check bool) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("no findings")
		return nil
	}
	return serveBundles(context.Background(), s)
}

// runFleet loads the settings and serves on the platform until a signal. With check it
// only validates the settings.
func runFleet(file string, check bool) error {
	s, err := settings.LoadFleet(file)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("no findings")
		return nil
	}
	return serveFleet(file, s)
}
