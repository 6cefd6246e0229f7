package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/jsonc"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// Fleet are the settings of a router that serves on a platform which publishes
// configuration and upstreams.
type Fleet struct {
	// Name is the VM's name, for the log.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Regions are the regions of failure domains. They are only needed where routes or teams
	// are restricted to regions.
	Regions map[string]string `json:"regions"`
	// Callers, Readiness and Control are where the process listens (IP:port):
	// for callers, for the balancer's probe and for operators.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
	// Metrics is the port on which metrics are served as text.
	Metrics int   `json:"metrics"`
	Peers   Peers `json:"peers"`
	// Platform is the store's address (IP:port).
	Platform string `json:"platform"`
	// Processor is the VM's share of a core; stronger VMs decide for more.
	Processor float64 `json:"processor"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `json:"memoryMB"`
	// Files is how many descriptors the process may open.
	Files  int    `json:"files"`
	Bounds Bounds `json:"bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// LogLines is how many lines a second of each kind are written at most.
	LogLines int `json:"logLines"`
}

// Peers is how routers find and hear each other.
type Peers struct {
	IP string `json:"ip"`
	// Port is the same on all VMs, for UDP and TCP.
	Port int `json:"port"`
	// Seeds are addresses of routers that may be up. Only the IPs are used.
	Seeds []string `json:"seeds"`
}

// Bounds are what the deployment demands.
type Bounds struct {
	// RevokeMs is how long a key may be served after it was taken away; 0 is
	// not bounded.
	RevokeMs float64 `json:"revokeMs"`
	// ApplyMs is how soon a change of the configuration must be in force, LeaveMs
	// how soon an upstream that leaves must get no more work.
	ApplyMs float64 `json:"applyMs"`
	LeaveMs float64 `json:"leaveMs"`
	// GraceS is the time from SIGTERM to SIGKILL.
	GraceS float64 `json:"graceS"`
	// RetryRatio, RetryAllowance and RetryWindowS bound a service's arrivals
	// beyond the first of each request: the ratio of all, and a number besides.
	RetryRatio     float64 `json:"retryRatio"`
	RetryAllowance float64 `json:"retryAllowance"`
	RetryWindowS   float64 `json:"retryWindowS"`
	// ShareWindowS is the span over which teams' shares are reckoned.
	ShareWindowS float64 `json:"shareWindowS"`
	// WarmUpOverage and WarmUpSlack bound the requests that reach an upstream which is
	// warming up, in any second: the multiple of its rate, and a number besides.
	WarmUpOverage float64 `json:"warmUpOverage"`
	WarmUpSlack   float64 `json:"warmUpSlack"`
	// EvacuateMs is how soon the upstreams of a failure domain that is evacuated must get no
	// more work.
	EvacuateMs float64 `json:"evacuateMs"`
}

// MaxRevocationDelay is how long a key may be served after it was taken away.
func (b Bounds) MaxRevocationDelay() time.Duration {
	return time.Duration(b.RevokeMs * float64(time.Millisecond))
}

// MaxApplyDelay is how soon what is published must be acted upon.
func (b Bounds) MaxApplyDelay() time.Duration {
	return time.Duration(min(b.ApplyMs, b.LeaveMs, b.EvacuateMs) * float64(time.Millisecond))
}

// WarmUp is the bound on the requests to upstreams that are warming up.
func (b Bounds) WarmUp() warmup.Policy {
	return warmup.Policy{Overage: b.WarmUpOverage, Slack: b.WarmUpSlack}
}

// TerminationGracePeriod is the time from SIGTERM to SIGKILL.
func (b Bounds) TerminationGracePeriod() time.Duration { return seconds(b.GraceS) }

// RetryWindow is the span of the retry budget.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DefaultFleet returns the settings that a file changes.
func DefaultFleet() Fleet {
	return Fleet{
		Metrics: 9464, Processor: 1, MemoryMB: 256, Files: 4096, LogLevel: "info", LogLines: 20,
		Bounds: Bounds{RevokeMs: 5000, ApplyMs: 2000, LeaveMs: 2000, GraceS: 8, RetryRatio: 0.2, RetryAllowance: 50, RetryWindowS: 10, ShareWindowS: 4,
			WarmUpOverage: 1, EvacuateMs: 5000},
	}
}

// LoadFleet reads and checks a settings file.
func LoadFleet(file string) (Fleet, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, Error.Wrap(err)
	}
	s, findings := ParseFleet(file, raw)
	return s, findings.Err()
}

// ParseFleet reads and checks settings; all findings come at once.
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

// minApplyMs is what the way over two routers and a read of the platform take.
const minApplyMs = 500

// minFiles is enough for the listeners and a few dozen requests.
const minFiles = 256

func checkBounds(doc *jsonc.Document, b Bounds) {
	if b.RevokeMs < 0 {
		doc.Add("/bounds/revokeMs", "must not be negative")
	}
	if b.ApplyMs < minApplyMs || b.LeaveMs < minApplyMs {
		doc.Add("/bounds/applyMs", "must be %d or more, and so must leaveMs", minApplyMs)
	}
	if b.GraceS <= 0 {
		doc.Add("/bounds/graceS", "must be more than 0")
	}
	if b.RetryRatio < 0 || b.RetryAllowance < 0 {
		doc.Add("/bounds/retryRatio", "must not be negative, nor retryAllowance")
	}
	if b.RetryWindowS <= 0 {
		doc.Add("/bounds/retryWindowS", "must be more than 0")
	}
	if b.ShareWindowS <= 0 {
		doc.Add("/bounds/shareWindowS", "must be more than 0")
	}
	if b.WarmUpOverage < 0 || b.WarmUpSlack < 0 {
		doc.Add("/bounds/warmUpOverage", "must not be negative, nor warmUpSlack")
	}
	if b.EvacuateMs < minApplyMs {
		doc.Add("/bounds/evacuateMs", "must be %d or more", minApplyMs)
	}
}

func checkAddress(doc *jsonc.Document, at, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		doc.Add(at, "must be an IP address and a port, such as 10.0.0.1:8080")
	}
}

func checkPort(doc *jsonc.Document, at string, port int) {
	if port < 0 || port > 65535 {
		doc.Add(at, "must be a port")
	}
}
