package daemon

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/settings"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal, and nothing that it holds is needed sooner.
const lookEvery = time.Second

// WatchSettings reloads the settings whenever the file changes. It never
// returns.
func (d *FleetDaemon) WatchSettings(file string) {
	last := modified(file)
	for range time.Tick(lookEvery) {
		if at := modified(file); at != last {
			last = at
			d.Reload(file)
		}
	}
}

// modified is when a file was changed; zero while it can't be seen, which
// Reload reports.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload reads the settings again and applies what can change in a running
// process: the seeds and the log level. Requests and connections go on. A file
// with findings changes nothing.
func (d *FleetDaemon) Reload(file string) {
	s, err := settings.LoadFleet(file)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("settings not changed")
		return
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	d.node.SetSeeds(seedIPs(s.Peers.Seeds))
	d.log.Info().Str("event", "reload").Strs("seeds", s.Peers.Seeds).Str("log_level", s.LogLevel).Msg("settings reloaded")
}

// seedIPs are the IPs of addresses; the settings' check has found them sound.
func seedIPs(addresses []string) []string {
	var ips []string
	for _, a := range addresses {
		if at, err := netip.ParseAddrPort(a); err == nil {
			ips = append(ips, at.Addr().String())
		}
	}
	return ips
}
