package settings

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Settings holds the settings of one router.
type Settings struct {
	// Name is the VM's name in the platform's list of VMs.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Callers, Peers and Admin are the listeners for callers, other routers and operators.
	Callers  Listener `json:"callers"`
	Peers    Listener `json:"peers"`
	Admin    Admin    `json:"admin"`
	Platform Platform `json:"platform"`
	// Operators are the operators whose signatures on bundles are accepted.
	Operators []bundle.Operator `json:"operators"`
	Scheduler Scheduler         `json:"scheduler"`
	// ShutdownGrace is how long responses in progress may continue after SIGTERM.
	ShutdownGrace jsonc.Duration `json:"shutdownGrace"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Listener is an address to listen on, with TLS if a certificate is given.
type Listener struct {
	Listen string `json:"listen"`
	// CertFile and KeyFile are PEM files; they are reloaded when they change.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile, if set, requires the other side to present a certificate that this
	// authority signed.
	CAFile string `json:"caFile"`
}

// Admin is the listener for operators.
type Admin struct {
	Listener `json:"listener"`
	// TokenHash is "sha256:" followed by the hash of the operators' bearer token.
	TokenHash string `json:"tokenHash"`
}

// Platform holds the settings of the platform's configuration service.
type Platform struct {
	// URL is the base URL, with an IP address as host.
	URL string `json:"url"`
	// PollEvery is how often the list of VMs is read.
	PollEvery jsonc.Duration `json:"pollEvery"`
	// ListLag is the maximum delay until a change of the VMs is in the list.
	ListLag jsonc.Duration `json:"listLag"`
	// WatchersPerDomain is the number of routers per failure domain that watch the bundle
	// by long polling; the others receive it from their peers.
	WatchersPerDomain int `json:"watchersPerDomain"`
}

// Scheduler holds the settings of the scheduler; see package sched.
type Scheduler struct {
	Hysteresis   float64        `json:"hysteresis"`
	ReportError  float64        `json:"reportError"`
	Tick         jsonc.Duration `json:"tick"`
	ReportEvery  jsonc.Duration `json:"reportEvery"`
	Heartbeat    jsonc.Duration `json:"heartbeat"`
	LeaseTTL     jsonc.Duration `json:"leaseTTL"`
	SuspectAfter jsonc.Duration `json:"suspectAfter"`
}

// Default returns the defaults, which a settings file overrides.
func Default() Settings {
	return Settings{
		Platform: Platform{
			PollEvery:         jsonc.Duration(5 * time.Second),
			ListLag:           jsonc.Duration(30 * time.Second),
			WatchersPerDomain: 1,
		},
		Scheduler: Scheduler{
			Hysteresis:   1,
			ReportError:  0.5,
			Tick:         jsonc.Duration(100 * time.Millisecond),
			ReportEvery:  jsonc.Duration(250 * time.Millisecond),
			Heartbeat:    jsonc.Duration(500 * time.Millisecond),
			LeaseTTL:     jsonc.Duration(3 * time.Second),
			SuspectAfter: jsonc.Duration(2500 * time.Millisecond),
		},
		ShutdownGrace: jsonc.Duration(time.Minute),
		LogLevel:      "info",
	}
}
