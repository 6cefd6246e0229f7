package feed_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
)

// Guards against a router that is never chosen as a reader again after one failed call, since it
// makes no further calls while it receives the state from peers.
func TestFailedCallIsForgottenByARouterThatNoLongerReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		unreachable := func(context.Context) (feed.Batch, error) { return feed.Batch{}, errors.New("platform unreachable") }
		f := feed.New(testConfig(), &fakeSource{list: unreachable, watch: watchUnanswered}, clock, zerolog.Nop(), func() bool { return false }, func() {})
		g.Expect(f.PlatformUnreachable()).To(BeFalse(), "before the first call")
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		time.Sleep(time.Second)
		f.Import(&feed.PeerState{Revision: 4, Config: configChange(3).Config}, clock())
		g.Expect(f.PlatformUnreachable()).To(BeTrue(), "after a failed call")
		for range 60 {
			time.Sleep(time.Second)
			f.ConfirmRevision(4, clock())
		}
		g.Expect(f.PlatformUnreachable()).To(BeFalse(), "a minute later")
	})
}
