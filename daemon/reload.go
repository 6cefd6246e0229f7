package daemon

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/settings"
)

// settingsPollInterval is the time between two checks of the settings file for changes. The file
// may change without a signal, and no setting has to take effect sooner.
const settingsPollInterval = time.Second

// WatchSettings reloads the settings whenever the file changes. It never returns.
func (d *FleetDaemon) WatchSettings(file string) {
	last := modTime(file)
	for range time.Tick(settingsPollInterval) {
		if modifiedAt := modTime(file); modifiedAt != last {
			last = modifiedAt
			d.Reload(file)
		}
	}
}

// modTime returns the modification time of a file, or zero if it can't be read. Reload then
// reports the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload reads the settings file and applies the settings that can change in a running process:
// the seeds and the log level. Requests and connections are not interrupted. If the file is
// invalid, nothing changes.
func (d *FleetDaemon) Reload(file string) {
	s, err := settings.LoadFleet(file)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("failed to load the settings; keeping the current ones")
		return
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	d.node.SetSeeds(seedIPs(s.Peers.Seeds))
	d.log.Info().Str("event", "reload").Strs("seeds", s.Peers.Seeds).Str("log_level", s.LogLevel).Msg("settings reloaded")
}

// seedIPs returns the IPs of addresses. Invalid addresses are skipped without an error, because
// they were validated when the settings were loaded.
func seedIPs(addresses []string) []string {
	var ips []string
	for _, a := range addresses {
		if addrPort, err := netip.ParseAddrPort(a); err == nil {
			ips = append(ips, addrPort.Addr().String())
		}
	}
	return ips
}
