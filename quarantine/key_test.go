package quarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// Guards against requests with different content having the same content key.
func TestContentKeyDependsOnEveryField(t *testing.T) {
	g := NewWithT(t)
	newID := quarantine.NewContentKey
	all := []quarantine.Key{
		newID("a", "POST", "h", "/x", []byte("b")), newID("b", "POST", "h", "/x", []byte("b")),
		newID("a", "GET", "h", "/x", []byte("b")), newID("a", "POST", "h/", "x", []byte("b")),
		newID("a", "POST", "h", "/xb", nil), newID("a", "POST", "h", "/x", []byte("c")), newID("a", "POST", "h", "/x", nil),
	}
	seen := map[quarantine.Key]bool{}
	for _, c := range all {
		seen[c] = true
	}
	g.Expect(seen).To(HaveLen(len(all)))
	g.Expect(newID("a", "POST", "h", "/x", []byte("b"))).To(Equal(all[0]))
}
