package gateway_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an interrupted response that appears complete.
func TestCutStreamShowsThatItIsCut(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(1, 3, "id: 4\nda", false)})
	resp, _, err := r.call("/stream/", nil)
	g.Expect(resp == nil || err != nil).To(BeTrue(), "the caller sees a broken connection")
	g.Expect(r.requests()).To(HaveLen(1))
}

// Guards against corrupt resumed streams. The first upstream stops in the middle of an
// event; the second must resume after the last complete one, under the first one's status
// and headers.
func TestStreamIsResumedAtAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(1, 3, "id: 4\nda", false), "u2": events(4, 6, "", true)})
	resp, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	g.Expect(body).To(Equal(want))
	g.Expect(resp.Header.Get("X-Seal")).To(Equal("s1"))
	g.Expect(r.requests()[1].header.Get("Last-Event-Id")).To(Equal("3"))
}

// Guards against events that are delivered twice. The second upstream restarts at the first
// event.
func TestResumedStreamRepeatsNoEvent(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(1, 3, "", false), "u2": events(1, 5, "", true)})
	_, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	g.Expect(body).To(Equal(want))
}

// Guards against relaying an error response of the second upstream as part of the stream.
func TestFailureIsNotMixedIntoAStream(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(1, 3, "", false), "u2": status(500, "X-Seal: s\r\n")})
	resp, _, err := r.call("/resume/", nil)
	g.Expect(resp == nil || err != nil).To(BeTrue())
}
