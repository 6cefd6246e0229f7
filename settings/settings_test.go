package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Guards against an example file that is invalid or differs from the defaults.
func TestExampleHasNoFindings(t *testing.T) {
	g := NewWithT(t)
	s, findings := settings.Parse("example.json", []byte(settings.Example))
	g.Expect(findings).To(BeEmpty())
	d := settings.Default()
	g.Expect(s.Scheduler).To(Equal(d.Scheduler))
	g.Expect(s.ShutdownGrace).To(Equal(d.ShutdownGrace))
	g.Expect(s.Platform.PollEvery).To(Equal(d.Platform.PollEvery))
	g.Expect(s.Platform.ListLag).To(Equal(d.Platform.ListLag))
}

// Guards against a report that omits some of several errors or their lines.
func TestAllFindingsComeAtOnce(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer(`"leaseTTL": "3s"`, `"leaseTTL": "500ms"`, `"127.0.0.1:8080"`, `"here"`,
		`"logLevel": "info"`, `"logLevel": "loud", "colour": 1`).Replace(settings.Example)
	_, findings := settings.Parse("vm1.json", []byte(text))
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
		g.Expect(f.Line).To(BeNumerically(">", 0))
	}
	g.Expect(paths).To(ConsistOf("/callers/listen", "/scheduler/leaseTTL", "/logLevel", "/colour"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(settings.Example))
	f.Fuzz(func(_ *testing.T, raw []byte) { settings.Parse("fuzz", raw) })
}
