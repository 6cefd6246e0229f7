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

// serveOwn serves until a signal. The first SIGTERM or SIGINT drains, a second
// ends.
func serveOwn(ctx context.Context, s settings.Settings) error {
	log := obs.NewLog(os.Stderr, s.LogLevel, s.Name)
	d, err := daemon.New(s, log, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		awaitStop()
		d.Drain()
		awaitStop()
		log.Error().Msg("second signal: ending at once")
		cancel()
	}()
	return d.Run(ctx)
}

// awaitStop waits for a signal to stop. There is nothing to reload: certificates
// are read again by themselves, and the rest is in bundles.
func awaitStop() {
	for sig := range startup.Signals() {
		if sig != syscall.SIGHUP {
			return
		}
	}
}
