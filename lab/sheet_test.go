package lab_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

func TestBuiltinSheetsAreValid(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("sheets/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		_, err := lab.ReadSheet(f)
		g.Expect(err).NotTo(HaveOccurred(), f)
	}
}

// All errors of a sheet must be reported at once, each with its location.
func TestSheetErrorsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "bad.json")
	g.Expect(os.WriteFile(file, []byte(`{"engines": 0, "routers": 3, "unheardOf": 1,
		"engine": {"slots": "many"}, "classes": [{"name": "a"}]}`), 0o600)).To(Succeed())
	_, err := lab.ReadSheet(file)
	for _, part := range []string{"bad.json:1:", "/engines", "unheardOf", "/engine/slots", "/classes/0"} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
}

// One home's share must scale everything that grows with the fleet.
func TestSheetPerHome(t *testing.T) {
	g := NewWithT(t)
	whole := lab.BuiltinSheet("cooling-grown")
	perHome := whole.PerHome(3)
	g.Expect(perHome.Engines).To(Equal(30))
	g.Expect(perHome.TokensPerSecond * 3).To(BeNumerically("~", whole.TokensPerSecond, 1))
	g.Expect(perHome.Classes[0].PerSecond * 3).To(BeNumerically("~", whole.Classes[0].PerSecond, 1e-9))
	g.Expect(whole.Classes[0].Sessions).To(Equal(494), "PerHome must not modify the sheet")
}
