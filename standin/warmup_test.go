package standin_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
)

// Guards against a fake upstream that accepts any load while it warms up.
func TestWarmingRunnerCrashesAboveItsRate(t *testing.T) {
	g := NewWithT(t)
	r, err := standin.NewRunner("r", standin.RunnerHeaders{RequestID: "X-Id", Instance: "X-Instance", Seal: "X-Seal", NotRun: "X-Not-Run"}, standin.RunnerOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = r.Close() })
	send := func(id int) error {
		req, err := http.NewRequest(http.MethodGet, "http://"+r.Address()+"/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Id", fmt.Sprint(id))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	for i := range 20 {
		g.Expect(send(i)).To(Succeed())
	}
	r.StartWarmUp(time.Now().Add(time.Minute), 3)
	g.Expect(r.WarmUpLeft()).To(BeNumerically(">", 50*time.Second))
	for i := range 3 {
		g.Expect(send(100 + i)).To(Succeed())
	}
	g.Expect(send(200)).NotTo(Succeed())
}
