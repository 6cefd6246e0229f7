package daemon_test

import (
	"bytes"
	"net/http"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/bundle"
)

var _ = Describe("an answer without an end", func() {
	// Guards against a completion without an end that is held in memory until its caller leaves.
	It("is judged at its limit", func() {
		f := newFleet()
		engine := http.NewServeMux()
		engine.HandleFunc("POST /", func(w http.ResponseWriter, _ *http.Request) {
			block := bytes.Repeat([]byte("a"), 64<<10)
			for sent := 0; sent < 256<<20; sent += len(block) {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		})
		engine.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
		f.addUpstream(bundle.Upstream{Kind: bundle.Engine, Pool: "planning", Slots: 4, Address: serve(engine)})
		f.startRouters(1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := time.Now()
		got := f.routers[0].requestCompletion("a round", 10, false)
		runtime.ReadMemStats(&after)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(f.routers[0].log.String()).To(ContainSubstring("body_too_large"))
		Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 64<<20), "bytes allocated for a limit of 4 MiB, twice")
	})
})
