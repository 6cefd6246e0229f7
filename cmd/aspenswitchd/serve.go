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

// serveBundles runs a router that is configured by signed bundles. The first SIGTERM or
// SIGINT drains it, the second ends it immediately.
func serveBundles(ctx context.Context, s settings.Settings) error {
	log := obs.NewLog(os.Stderr, s.LogLevel, s.Name)
	d, err := daemon.New(s, log, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		waitForStopSignal()
		d.Drain()
		waitForStopSignal()
		log.Error().Msg("received a second stop signal; exiting without draining")
		cancel()
	}()
	return d.Run(ctx)
}

// waitForStopSignal blocks until SIGTERM or SIGINT. It ignores SIGHUP: certificates are
// reloaded automatically, and other configuration is in bundles.
func waitForStopSignal() {
	for sig := range startup.Signals() {
		if sig != syscall.SIGHUP {
			return
		}
	}
}
