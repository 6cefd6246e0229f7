package gateway_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// An answer that breaks off must not look whole.
func TestCutStreamShowsThatItIsCut(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": events(1, 3, "id: 4\nda", false)})
	resp, _, err := r.call("/stream/", nil)
	g.Expect(resp == nil || err != nil).To(BeTrue(), "the caller sees a broken connection")
	g.Expect(r.runs()).To(HaveLen(1))
}

// The caller sees one stream: the first upstream stops in the middle of an event
// and the second goes on after the last whole one, under the first one's head.
func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": events(1, 3, "id: 4\nda", false), "u2": events(4, 6, "", true)})
	resp, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	g.Expect(body).To(Equal(want))
	g.Expect(resp.Header.Get("X-Seal")).To(Equal("s1"))
	g.Expect(r.runs()[1].header.Get("Last-Event-Id")).To(Equal("3"))
}

// The second upstream begins again at the first event: none comes twice.
func TestResumedStreamRepeatsNoEvent(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": events(1, 3, "", false), "u2": events(1, 5, "", true)})
	_, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	g.Expect(body).To(Equal(want))
}

// A failure of the second upstream must not be taken for a part of the stream.
func TestFailureIsNotMixedIntoAStream(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": events(1, 3, "", false), "u2": status(500, "X-Seal: s\r\n")})
	resp, _, err := r.call("/resume/", nil)
	g.Expect(resp == nil || err != nil).To(BeTrue())
}
