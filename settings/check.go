package settings

import (
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

var tokenHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// minLeaseHeartbeats is the minimum duration of a lease in heartbeats. With two, a single lost
// message doesn't end the lease.
const minLeaseHeartbeats = 2

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	s, findings := Parse(file, raw)
	return s, findings.Err()
}

// Parse decodes and validates settings. It returns all findings together.
func Parse(file string, raw []byte) (Settings, jsonc.Findings) {
	s := Default()
	doc := jsonc.Decode(file, raw, &s)
	checkSettings(doc, &s)
	return s, doc.Findings()
}

func checkSettings(doc *jsonc.Document, s *Settings) {
	if s.Name == "" {
		doc.Add("/name", "must be the VM's name in the platform's list of VMs")
	}
	if s.FailureDomain == "" {
		doc.Add("/failureDomain", "must be given")
	}
	checkListener(doc, "/callers", s.Callers)
	checkListener(doc, "/peers", s.Peers)
	checkListener(doc, "/admin/listener", s.Admin.Listener)
	if !tokenHashPattern.MatchString(s.Admin.TokenHash) {
		doc.Add("/admin/tokenHash", "must be sha256: followed by 64 lower-case hexadecimal digits")
	}
	checkPlatform(doc, s.Platform)
	checkOperators(doc, s)
	checkScheduler(doc, s.Scheduler)
	if s.ShutdownGrace <= 0 {
		doc.Add("/shutdownGrace", "must be more than 0")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		doc.Add("/logLevel", "must be debug, info, warn or error")
	}
}

func checkListener(doc *jsonc.Document, path string, l Listener) {
	if _, err := netip.ParseAddrPort(l.Listen); err != nil {
		doc.Add(path+"/listen", "must be an IP address and a port, such as 10.0.0.1:8080")
	}
	if (l.CertFile == "") != (l.KeyFile == "") {
		doc.Add(path, "certFile and keyFile must be given together")
	}
	if l.CAFile != "" && l.CertFile == "" {
		doc.Add(path+"/caFile", "requires certFile and keyFile")
	}
}

func checkPlatform(doc *jsonc.Document, p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		doc.Add("/platform/url", "must be a URL such as http://10.0.0.1:6000")
	} else if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		doc.Add("/platform/url", "must contain the host's IP address")
	}
	checkPositive(doc, "/platform/pollEvery", p.PollEvery)
	if p.ListLag < 2*p.PollEvery {
		doc.Add("/platform/listLag", "must be at least twice pollEvery")
	}
	if p.WatchersPerDomain < 1 {
		doc.Add("/platform/watchersPerDomain", "must be 1 or more")
	}
}

func checkOperators(doc *jsonc.Document, s *Settings) {
	if len(s.Operators) < 2 {
		doc.Add("/operators", "must list at least two operators, since two must sign a bundle")
	}
	for i, o := range s.Operators {
		path := "/operators/" + strconv.Itoa(i)
		if o.Name == "" {
			doc.Add(path+"/name", "must be given")
		}
		if len(o.PublicKey) != 32 {
			doc.Add(path+"/publicKey", "must be an ed25519 public key: 32 bytes in base64")
		}
	}
}

func checkScheduler(doc *jsonc.Document, s Scheduler) {
	if s.Hysteresis < 0 {
		doc.Add("/scheduler/hysteresis", "must not be negative")
	}
	if s.ReportError <= 0 {
		doc.Add("/scheduler/reportError", "must be more than 0")
	}
	checkPositive(doc, "/scheduler/tick", s.Tick)
	checkPositive(doc, "/scheduler/reportEvery", s.ReportEvery)
	checkPositive(doc, "/scheduler/heartbeat", s.Heartbeat)
	if s.LeaseTTL < minLeaseHeartbeats*s.Heartbeat {
		doc.Add("/scheduler/leaseTTL", "must be at least %d heartbeats", minLeaseHeartbeats)
	}
	if s.SuspectAfter <= s.Heartbeat {
		doc.Add("/scheduler/suspectAfter", "must be longer than heartbeat")
	}
}

func checkPositive(doc *jsonc.Document, path string, d jsonc.Duration) {
	if time.Duration(d) <= 0 {
		doc.Add(path, "must be more than 0")
	}
}
