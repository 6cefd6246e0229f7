package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/settings"
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
