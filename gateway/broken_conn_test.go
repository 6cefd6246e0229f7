package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// eventLines returns the fields of each log line with the given event.
func (r *harness) eventLines(event string) []map[string]any {
	var out []map[string]any
	for line := range strings.Lines(r.logs.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["event"] == event {
			out = append(out, fields)
		}
	}
	return out
}

// Guards against broken connections logged without the hash that correlates request IDs.
func TestBrokenConnectionsAreLoggedWithContent(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": events(1, 2, "id: 3\nda", false)})
			for _, id := range []string{"id1", "id2"} {
				_, _, _ = r.call(path, func(req *http.Request) { req.Header.Set(names.RequestID, id) })
			}
			lines := r.eventLines("upstream_broke")
			g.Expect(lines).To(HaveLen(2))
			g.Expect(lines[0]).To(HaveKeyWithValue("team", "schools"))
			g.Expect(lines[0]).To(HaveKeyWithValue("upstream", "u1"))
			g.Expect(lines[0]["content"]).NotTo(BeEmpty())
			g.Expect(lines[1]["content"]).To(Equal(lines[0]["content"]), "the content hash must not depend on the request ID")
			g.Expect(r.eventLines("failed")[0]).To(HaveKeyWithValue("content", lines[0]["content"]))
		})
	}
}
