package main

import (
	"context"
	"os"
	"syscall"

	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/startup"
)

// serveFleet serves until SIGTERM or SIGINT, then drains: running responses may end.
// SIGHUP reloads the settings. Further stop signals have no effect, because the platform
// kills a process that takes too long to stop.
func serveFleet(file string, s settings.Fleet) error {
	out := obs.NewAsyncWriter(os.Stdout)
	log := obs.NewLog(out, s.LogLevel, s.Name)
	d, err := daemon.NewFleetDaemon(s, log)
	if err != nil {
		return err
	}
	go func() {
		draining := false
		for sig := range startup.Signals() {
			switch {
			case sig == syscall.SIGHUP:
				d.Reload(file)
			case !draining:
				draining = true
				go d.Drain()
			}
		}
	}()
	go d.WatchSettings(file)
	err = d.Run(context.Background())
	log.Info().Str("event", "stop").Err(err).Msg("stopped")
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}
