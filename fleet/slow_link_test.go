package fleet_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/registry"
)

// slowLink is 10 Mbit/s in bytes per second.
const slowLink = 10e6 / 8

// publishLarge publishes a new revision in which upstreams with entries of 1 KB take the given size.
func publishLarge(s *source, size int) {
	s.change(func() {
		s.revision++
		revision := s.revision
		s.edit = func(b *feed.Batch) {
			for i := range size >> 10 {
				b.Changes = append(b.Changes, feed.Change{Revision: revision, Upstream: &registry.Upstream{
					ID: fmt.Sprint("large-", i), Service: "llm", Address: "127.0.0.1:1", Slots: 1, Revision: revision,
					Version: strings.Repeat("v", 900),
				}})
			}
		}
	})
}

// Guards against a transfer of the state that is given up for its length, and starts again from its
// beginning each time.
func TestLargeStateIsTransferredOverSlowLinks(t *testing.T) {
	for _, c := range []struct{ routers, size int }{{3, 1 << 20}, {3, 4 << 20}, {7, 1 << 20}} {
		t.Run(fmt.Sprintf("%d routers, %d MB", c.routers, c.size>>20), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				available, cutOff := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
				sources := []*source{available}
				for range c.routers - 1 {
					sources = append(sources, cutOff)
				}
				cluster := startCluster(t, c.routers, sources...)
				cutOff.change(func() { cutOff.unavailable = true })
				// Only the first router reaches the platform.
				g.Eventually(cluster.all[0].node.ReadsPlatform, time.Minute, 10*time.Millisecond).Should(BeTrue())
				cluster.net.setLink(slowLink, 0.01)
				published := time.Now()
				publishLarge(available, c.size)
				for _, m := range cluster.all {
					g.Eventually(func() int64 { return m.feed.StateVersion().Revision }, 30*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
				}
				took, rejected, failures := time.Since(published), 0, fleet.PullFailures{}
				for _, m := range cluster.all {
					f := m.node.Dump().PullFailures
					failures.Stalled += f.Stalled
					failures.TooSlow += f.TooSlow
					rejected += int(f.Other)
				}
				t.Logf("in force at all routers after %v; %.1f transfers of the state, %d rejected, failures %+v", took,
					float64(cluster.net.streamedBytes())/(float64(c.size)*4/3), rejected, failures)
				g.Expect(failures).To(Equal(fleet.PullFailures{}))
				// Each transfer is in base64. Routers that have the state send it to others, two at a time each.
				transfer := float64(c.size) * 4 / 3 / slowLink
				rounds := math.Ceil(math.Log2(float64(c.routers)))
				g.Expect(took.Seconds()).To(BeNumerically("<", 2*transfer*rounds+4))
			})
		})
	}
}

// Guards against a transfer that hangs, or that ends only when the peer closes it.
func TestTransferEndsForLackOfProgress(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		reason fleet.TransferReason
		atMost time.Duration
	}{
		"silent":           {pause: 10 * time.Second, reason: fleet.TransferStalled, atMost: time.Second},
		"a byte at a time": {pause: 100 * time.Millisecond, reason: fleet.TransferTooSlow, atMost: 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				cluster := startCluster(t, 1, &source{revision: 1, version: 1})
				at := addr(200)
				e := cluster.net.listen(at)
				defer func() { _ = e.Close() }()
				ended := make(chan struct{})
				defer close(ended)
				go func() {
					conn, err := e.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					go func() {
						buf := make([]byte, 1024)
						for err == nil {
							_, err = conn.Read(buf)
						}
					}()
					for {
						if _, err := conn.Write([]byte(" ")); err != nil {
							return
						}
						select {
						case <-time.After(c.pause):
						case <-ended:
							return
						}
					}
				}()
				started := time.Now()
				err := cluster.all[0].node.Pull(at)
				var transfer *fleet.TransferError
				g.Expect(errors.As(err, &transfer)).To(BeTrue(), "%v", err)
				g.Expect(transfer.Reason).To(Equal(c.reason))
				g.Expect(time.Since(started)).To(BeNumerically("<", c.atMost))
			})
		})
	}
}
