package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// withParts sets the parts of a request's prompt.
func withParts(ids ...string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(names.Parts, strings.Join(ids, ":10,")+":10") }
}

// crashPart reports crashes that quarantine a part.
func (p *fakePlacer) crashPart(id uint64) {
	for range quarantine.DefaultConfig().Part.QuarantineAfter {
		p.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{quarantine.NewPartKey(id)}, Team: "schools"}, dispatch.Incarnation{ID: "u9"}, 0)
	}
}

// Guards against sending prompts with a quarantined part, refusing others, and wrong outcomes.
func TestPromptWithAQuarantinedPartIsRejected(t *testing.T) {
	g := NewWithT(t)
	whole := ending{framing: eventstream.Chunked, eol: "\n"}
	r := newHarness(t, map[string]script{"u1": whole.script(1, 3)})
	r.placer.crashPart(0xbad)
	for i, parts := range [][]string{{"bad", "1", "2"}, {"1", "bad", "2"}, {"1", "2", "bad", "3"}} {
		for _, path := range []string{"/stream/", "/resume/"} {
			resp, body, err := r.call(fmt.Sprint(path, i), withParts(parts...))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
			g.Expect(body).To(ContainSubstring(`"outcome":"not-run"`))
			g.Expect(body).To(ContainSubstring("the part bad;"))
		}
	}
	g.Expect(r.requests()).To(BeEmpty())
	g.Expect(r.eventLines("failed")[0]).To(HaveKeyWithValue("part", "bad"))
	for _, parts := range [][]string{{"1", "2", "bad"}, {"1", "2"}, {"bad0", "2"}} {
		resp, _, err := r.call("/stream/", withParts(parts...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "%v: the last part belongs to the request", parts)
	}
}

// Guards against requests that are never tried because two of their keys are in quarantine.
func TestTrialIsForAllKeys(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Chunked, eol: "\n"}.script(1, 3)})
	r.placer.crashPart(0xbad)
	r.placer.crashPart(0xdead)
	resp, _, err := r.call("/stream/", withParts("bad", "dead", "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	r.placer.grantTrial.Store(true)
	resp, _, err = r.call("/stream/", withParts("bad", "dead", "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(r.requests()).To(HaveLen(1))
	for _, id := range []uint64{0xbad, 0xdead} {
		g.Expect(r.placer.Quarantine().Status(quarantine.NewPartKey(id))).To(Equal(quarantine.Normal), "its answer has started")
	}
}

// Guards against trials without a result, for which other requests wait.
func TestTrialWithoutAResultIsEnded(t *testing.T) {
	whole, cut := ending{framing: eventstream.Chunked, eol: "\n"}, ending{framing: eventstream.Connection, eol: "\n", partial: "id:"}
	for name, c := range map[string]struct {
		upstream script
		ended    int
	}{
		"refused":  {nil, 1},
		"rejected": {status(503, "X-Not-Run: 1\r\n"), 1},
		"failed":   {status(500, "X-Seal: s\r\n"), 1},
		"crashed":  {cut.script(1, 1), 0},
		"served":   {whole.script(1, 3), 0},
	} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": c.upstream})
		r.placer.crashPart(0xbad)
		r.placer.grantTrial.Store(true)
		_, _, _ = r.call("/stream/", withParts("bad", "1"))
		g.Eventually(r.placer.endedTrials).Should(HaveLen(c.ended), name)
	}
}

// Guards against sending a trial with a key that was quarantined after the trial was granted.
func TestTrialEndsWithAnotherQuarantine(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Chunked, eol: "\n"}.script(1, 3)})
	r.placer.crashPart(0xbad)
	r.placer.grantTrial.Store(true)
	r.placer.beforePlace = func() { r.placer.crashPart(0xdead) }
	resp, _, err := r.call("/stream/", withParts("bad", "dead", "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(r.requests()).To(BeEmpty())
}

// Guards against blaming parts for crashes after the answer had started, and against clearing them by
// an answer that crashed at its first event.
func TestPartIsBlamedUnlessTheAnswerHadStarted(t *testing.T) {
	for events, started := range map[int]bool{0: false, 1: false, 2: true, 3: true} {
		g := NewWithT(t)
		cut := ending{framing: eventstream.Connection, eol: "\n", partial: "id:"}
		r := newHarness(t, map[string]script{"u1": cut.script(1, events)})
		_, _, _ = r.call("/stream/", withParts("a1", "b2", "c3"))
		for id, shared := range map[uint64]bool{0xa1: true, 0xb2: true, 0xc3: false} {
			g.Expect(r.placer.Quarantine().HasCrashes(quarantine.NewPartKey(id))).To(Equal(shared && !started), "part %x after %d events", id, events)
		}
		if started {
			g.Expect(r.placer.startedParts()).To(Equal([]uint64{0xa1, 0xb2}))
		} else {
			g.Expect(r.placer.startedParts()).To(BeEmpty())
		}
	}
}

// Guards against parts that aren't seen because a prompt has many.
func TestLastOfManyPartsIsShared(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Chunked, eol: "\n"}.script(1, 3)})
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("%x", 0x100+i))
	}
	_, _, err := r.call("/stream/", withParts(ids...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.placer.startedParts()).To(HaveLen(16))
}
