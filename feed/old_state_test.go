package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
)

// Guards against a router that, after its peers have stopped renewing its state, waits for changes
// before it learns that its state is still the newest.
func TestOldStateIsConfirmedWithoutWaitingForChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		f := feed.New(testConfig(), &fakeSource{watch: watchUnchanged}, clock, zerolog.Nop(), func() bool { return false }, func() {})
		f.Import(&feed.PeerState{Revision: 4, Config: configChange(3).Config}, clock())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		var oldest time.Duration
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			oldest = max(oldest, f.Age())
		}
		cfg := testConfig()
		const answerTime = 50 * time.Millisecond
		// A follower checks the age of its state eight times within MaxFollowerAge.
		g.Expect(oldest).To(BeNumerically("<=", cfg.MaxFollowerAge+cfg.MaxFollowerAge/8+answerTime))
	})
}
