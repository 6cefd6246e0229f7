package lab_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

func TestSheetsOfTheLaboratoryAreSound(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("sheets/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		_, err := lab.ReadSheet(f)
		g.Expect(err).NotTo(HaveOccurred(), f)
	}
}

// Whoever writes a sheet hears of all its faults at once, each with its place.
func TestFaultsOfASheetAreTold(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "bad.json")
	g.Expect(os.WriteFile(file, []byte(`{"engines": 0, "routers": 3, "unheardOf": 1,
		"engine": {"slots": "many"}, "classes": [{"name": "a"}]}`), 0o600)).To(Succeed())
	_, err := lab.ReadSheet(file)
	for _, part := range []string{"bad.json:1:", "/engines", "unheardOf", "/engine/slots", "/classes/0"} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
}

// The part of one home holds its part of everything that grows with the fleet.
func TestPartOfASheet(t *testing.T) {
	g := NewWithT(t)
	whole := lab.BuiltinSheet("cooling-grown")
	part := whole.PerHome(3)
	g.Expect(part.Engines).To(Equal(30))
	g.Expect(part.TokensPerSecond * 3).To(BeNumerically("~", whole.TokensPerSecond, 1))
	g.Expect(part.Classes[0].PerSecond * 3).To(BeNumerically("~", whole.Classes[0].PerSecond, 1e-9))
	g.Expect(whole.Classes[0].Sessions).To(Equal(494), "the whole stays as it is")
}
