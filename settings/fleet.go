package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/jsonc"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// Fleet holds the settings of a router whose platform publishes the configuration and the
// upstreams.
type Fleet struct {
	// Name is the VM's name in the log.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Regions maps failure domains to regions. It is only needed if routes or teams are
	// restricted to regions.
	Regions map[string]string `json:"regions"`
	// Callers, Readiness and Control are the listen addresses (IP:port) for callers, for
	// the load balancer's readiness probe and for operators.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
	// Metrics is the port on which metrics are served in text format.
	Metrics int   `json:"metrics"`
	Peers   Peers `json:"peers"`
	// Platform is the address (IP:port) of the platform's store.
	Platform string `json:"platform"`
	// Processor is the VM's processor share in cores. A VM with a larger share is the
	// home of more groups.
	Processor float64 `json:"processor"`
	// MemoryMB is the process's memory limit in MB.
	MemoryMB int `json:"memoryMB"`
	// Files is the maximum number of open file descriptors.
	Files     int       `json:"files"`
	Bounds    Bounds    `json:"bounds"`
	Placement Placement `json:"placement"`
	Entry     Entry     `json:"entry"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// LogLines is the maximum number of log lines per second of each kind.
	LogLines int `json:"logLines"`
}

// Peers holds the settings of the traffic between routers.
type Peers struct {
	IP string `json:"ip"`
	// Port is the same on all VMs, for UDP and TCP.
	Port int `json:"port"`
	// Seeds are addresses of routers that may be running, for discovery. Only the IPs are
	// used.
	Seeds []string `json:"seeds"`
}

// Placement enables decisions on where requests run. All routers of a fleet must have the same.
type Placement struct {
	// Locality prefers upstreams in the failure domain of the router that received a request. It
	// has no effect on a service unless its failure domains are large enough.
	Locality bool `json:"locality"`
	// Reservations keeps room for refused requests until the time of their Retry-After.
	Reservations bool `json:"reservations"`
	// Handover lets another group of a service's upstreams serve requests for which their own has
	// no room.
	Handover bool `json:"handover"`
	// LoadReports uses the load that upstreams state in their responses, if they state how fast
	// their machines currently are.
	LoadReports bool `json:"loadReports"`
}

// Entry holds the settings of a router as an entry point for callers.
type Entry struct {
	// LeaveWhenOverloaded lets a router leave the load balancer while it gets more connections than
	// it can accept and other routers of its failure domain can accept them.
	LeaveWhenOverloaded bool `json:"leaveWhenOverloaded"`
}

// Bounds holds the limits that the deployment requires its routers to keep.
type Bounds struct {
	// RevokeMs is how long requests with a revoked key may still be served; 0 means
	// unbounded.
	RevokeMs float64 `json:"revokeMs"`
	// ApplyMs is the time within which a configuration change must take effect, LeaveMs
	// the time within which an upstream that leaves must receive no new requests.
	ApplyMs float64 `json:"applyMs"`
	LeaveMs float64 `json:"leaveMs"`
	// GraceS is the time from SIGTERM to SIGKILL.
	GraceS float64 `json:"graceS"`
	// RetryRatio, RetryAllowance and RetryWindowS are a service's retry budget. Per window,
	// the attempts beyond the first of each request are at most this ratio of the first
	// attempts, plus the allowance.
	RetryRatio     float64 `json:"retryRatio"`
	RetryAllowance float64 `json:"retryAllowance"`
	RetryWindowS   float64 `json:"retryWindowS"`
	// ShareWindowS is the window over which teams' shares are computed.
	ShareWindowS float64 `json:"shareWindowS"`
	// WarmUpOverage and WarmUpSlack bound the requests that reach an upstream in any second
	// of its warm-up: a multiple of its warm-up rate, plus a number of requests.
	WarmUpOverage float64 `json:"warmUpOverage"`
	WarmUpSlack   float64 `json:"warmUpSlack"`
	// EvacuateMs is the time within which the upstreams of an evacuated failure domain must
	// receive no new requests.
	EvacuateMs float64 `json:"evacuateMs"`
}

// MaxRevocationDelay returns how long requests with a revoked key may still be served.
func (b Bounds) MaxRevocationDelay() time.Duration {
	return time.Duration(b.RevokeMs * float64(time.Millisecond))
}

// MaxApplyDelay returns the time within which any published change must take effect: the
// shortest of ApplyMs, LeaveMs and EvacuateMs.
func (b Bounds) MaxApplyDelay() time.Duration {
	return time.Duration(min(b.ApplyMs, b.LeaveMs, b.EvacuateMs) * float64(time.Millisecond))
}

// WarmUp returns the bound on the requests to upstreams that are warming up.
func (b Bounds) WarmUp() warmup.Policy {
	return warmup.Policy{Overage: b.WarmUpOverage, Slack: b.WarmUpSlack}
}

// TerminationGracePeriod returns the time from SIGTERM to SIGKILL.
func (b Bounds) TerminationGracePeriod() time.Duration { return seconds(b.GraceS) }

// RetryWindow returns the window of the retry budget.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DefaultFleet returns the defaults, which a settings file overrides.
func DefaultFleet() Fleet {
	return Fleet{
		Metrics: 9464, Processor: 1, MemoryMB: 256, Files: 4096, LogLevel: "info", LogLines: 20,
		Bounds: Bounds{RevokeMs: 5000, ApplyMs: 2000, LeaveMs: 2000, GraceS: 8, RetryRatio: 0.2, RetryAllowance: 50, RetryWindowS: 10, ShareWindowS: 4,
			WarmUpOverage: 1, EvacuateMs: 5000},
	}
}

// LoadFleet reads and validates a settings file.
func LoadFleet(file string) (Fleet, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, Error.Wrap(err)
	}
	s, findings := ParseFleet(file, raw)
	return s, findings.Err()
}

// ParseFleet decodes and validates settings. It returns all findings together.
func ParseFleet(file string, raw []byte) (Fleet, jsonc.Findings) {
	s := DefaultFleet()
	doc := jsonc.Decode(file, raw, &s)
	if s.Name == "" {
		doc.Add("/name", "must be given")
	}
	if s.FailureDomain == "" {
		doc.Add("/failureDomain", "must be given")
	}
	checkAddress(doc, "/callers", s.Callers)
	checkAddress(doc, "/readiness", s.Readiness)
	checkAddress(doc, "/control", s.Control)
	checkAddress(doc, "/platform", s.Platform)
	if _, err := netip.ParseAddr(s.Peers.IP); err != nil {
		doc.Add("/peers/ip", "must be an IP address")
	}
	checkPort(doc, "/peers/port", s.Peers.Port)
	checkPort(doc, "/metrics", s.Metrics)
	for _, seed := range s.Peers.Seeds {
		checkAddress(doc, "/peers/seeds", seed)
	}
	if s.Processor <= 0 {
		doc.Add("/processor", "must be more than 0")
	}
	if s.MemoryMB < 1 {
		doc.Add("/memoryMB", "must be 1 or more")
	}
	if s.Files < minFiles {
		doc.Add("/files", "must be %d or more", minFiles)
	}
	checkBounds(doc, s.Bounds)
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		doc.Add("/logLevel", "must be debug, info, warn or error")
	}
	if s.LogLines < 1 {
		doc.Add("/logLines", "must be 1 or more")
	}
	return s, doc.Findings()
}

// minApplyMs is the time that a read of the platform and the forwarding over two routers
// take.
const minApplyMs = 500

// minFiles is the number of descriptors for the listeners and a few dozen requests.
const minFiles = 256

func checkBounds(doc *jsonc.Document, b Bounds) {
	if b.RevokeMs < 0 {
		doc.Add("/bounds/revokeMs", "must not be negative")
	}
	if b.ApplyMs < minApplyMs || b.LeaveMs < minApplyMs {
		doc.Add("/bounds/applyMs", "applyMs and leaveMs must be %d or more", minApplyMs)
	}
	if b.GraceS <= 0 {
		doc.Add("/bounds/graceS", "must be more than 0")
	}
	if b.RetryRatio < 0 || b.RetryAllowance < 0 {
		doc.Add("/bounds/retryRatio", "retryRatio and retryAllowance must not be negative")
	}
	if b.RetryWindowS <= 0 {
		doc.Add("/bounds/retryWindowS", "must be more than 0")
	}
	if b.ShareWindowS <= 0 {
		doc.Add("/bounds/shareWindowS", "must be more than 0")
	}
	if b.WarmUpOverage < 0 || b.WarmUpSlack < 0 {
		doc.Add("/bounds/warmUpOverage", "warmUpOverage and warmUpSlack must not be negative")
	}
	if b.EvacuateMs < minApplyMs {
		doc.Add("/bounds/evacuateMs", "must be %d or more", minApplyMs)
	}
}

func checkAddress(doc *jsonc.Document, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		doc.Add(path, "must be an IP address and a port, such as 10.0.0.1:8080")
	}
}

func checkPort(doc *jsonc.Document, path string, port int) {
	if port < 0 || port > 65535 {
		doc.Add(path, "must be a port from 0 to 65535")
	}
}
