package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/settings"
)

const validFleet = `// a router
{
  "name": "r1", "failureDomain": "z", "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "control": "10.0.0.1:3",
  "peers": {"ip": "10.0.0.1", "port": 7400, "seeds": ["10.0.0.2:3"]},
  "platform": "10.0.0.9:4", // the store
  "bounds": {"revokeMs": 5000}
}`

func TestFleetSettingsWithComments(t *testing.T) {
	g := NewWithT(t)
	s, findings := settings.ParseFleet("f.json", []byte(validFleet))
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	g.Expect(s.Bounds.MaxApplyDelay().Milliseconds()).To(Equal(int64(2000)))
	g.Expect(s.Peers.Seeds).To(Equal([]string{"10.0.0.2:3"}))
}

// Guards against a report that stops at the first error or gives wrong lines.
func TestFleetFindingsComeTogetherWithPlaces(t *testing.T) {
	g := NewWithT(t)
	_, findings := settings.ParseFleet("f.json", []byte(`{
  "name": "r1", "failureDomain": "z", "callers": "nowhere", "readiness": "10.0.0.1:2", "control": "10.0.0.1:3",
  "peers": {"ip": "x", "port": 99999},
  "platform": "10.0.0.9:4",
  "processor": 0, "files": 1,
  "bounds": {"graceS": 0, "applyMs": 1, "warmUpSlack": -1, "evacuateMs": 0}
}`))
	lines := map[string]int{}
	for _, f := range findings {
		lines[f.Path] = f.Line
	}
	g.Expect(lines).To(HaveKeyWithValue("/callers", 2))
	g.Expect(lines).To(HaveKeyWithValue("/peers/ip", 3))
	g.Expect(lines).To(HaveKeyWithValue("/peers/port", 3))
	g.Expect(lines).To(HaveKeyWithValue("/processor", 5))
	g.Expect(lines).To(HaveKeyWithValue("/files", 5))
	g.Expect(lines).To(HaveKeyWithValue("/bounds/graceS", 6))
	g.Expect(lines).To(HaveKeyWithValue("/bounds/applyMs", 6))
	g.Expect(lines).To(HaveKeyWithValue("/bounds/warmUpOverage", 6))
	g.Expect(lines).To(HaveKeyWithValue("/bounds/evacuateMs", 6))
}
