package feed_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
)

// The platform truncates its history while an upstream leaves, so no watch reports the
// deletion. The router must list again and remove missing upstreams immediately: the
// platform was never unreachable, so none of them lapsed.
func TestUpstreamThatLeftInAGapOfTheHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lists := 0
		f := start(t, &fakeSource{
			list: func(context.Context) (feed.Batch, error) {
				lists++
				b := feed.Batch{Changes: []feed.Change{configChange(3), upstreamChange("stays", 2)}, Revision: int64(10 * lists)}
				if lists == 1 {
					b.Changes = append(b.Changes, upstreamChange("leaves", 3))
				}
				return b, nil
			},
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if lists == 1 {
					return feed.Batch{}, feed.ErrHistoryGone
				}
				return watchUnchanged(ctx, after, wait)
			},
		})
		time.Sleep(500 * time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
		g.Expect(f.Snapshot().View.Upstream("stays")).NotTo(BeNil())
	})
}

// A router loses the platform for seconds while its peers confirm its state. Its first
// successful read reports that an upstream has left. Since the platform was healthy,
// this is no lapse: the grace period on top of the detection delay would send the
// upstream requests beyond the bound.
func TestRouterThatWasCutOffDropsWhatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		var unreachable atomic.Bool
		f := feed.New(testConfig(), &fakeSource{
			list: listOf(3, configChange(3), upstreamChange("leaves", 2)),
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if unreachable.Load() {
					return feed.Batch{}, errors.New("platform unreachable")
				}
				if after < 5 {
					return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
				}
				return watchUnchanged(ctx, after, wait)
			},
		}, clock, zerolog.Nop(), func() bool { return true }, func() {})
		unreachable.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.ConfirmRevision(3, clock())
		}
		g.Expect(f.Snapshot().View.Upstream("leaves")).NotTo(BeNil())
		unreachable.Store(false)
		time.Sleep(feed.DefaultConfig(revoke, apply).BackoffMax + 100*time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// One lost connection is no outage: an upstream deleted meanwhile has left and must be
// removed immediately.
func TestShortFailureIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		f := start(t, &fakeSource{list: listOf(3, configChange(3), upstreamChange("leaves", 2)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			calls++
			switch calls {
			case 1:
				return feed.Batch{}, errors.New("connection reset")
			case 2:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
			}
			return watchUnchanged(ctx, after, wait)
		}})
		time.Sleep(500 * time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// Around a long outage entries lapse although their upstreams are running. If they were
// removed immediately, all would be missing until they register again, about two
// seconds later, and every request would be rejected.
func TestUpstreamsThatLapsedInAnOutageAreUsedUntilTheyAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		unreachable := func() bool { at := time.Since(begin); return at > time.Second && at < 6*time.Second }
		f := start(t, &fakeSource{list: listOf(3, configChange(3), upstreamChange("lives", 2), upstreamChange("leaves", 3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			switch {
			case unreachable():
				return feed.Batch{}, errors.New("platform unreachable")
			case time.Since(begin) > 7*time.Second && after < 9:
				return feed.Batch{Changes: []feed.Change{upstreamChange("lives", 9)}, Revision: 9}, nil
			case time.Since(begin) > 6*time.Second && after < 6:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "lives"}, {Revision: 6, DeletedUpstream: "leaves"}}, Revision: 6}, nil
			}
			return watchUnchanged(ctx, after, wait)
		}})
		for time.Since(begin) < 12*time.Second {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Snapshot().View.Upstream("lives")).NotTo(BeNil(), "after %v", time.Since(begin))
		}
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// Around an outage a deletion is treated as a lapse with a grace period. A router that
// imports this state must end the grace period too, although no later change reports
// it; otherwise requests would reach an upstream that has left.
func TestPeersEndTheGraceOfALapsedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		const outage = 3 * time.Second
		f := start(t, &fakeSource{list: listOf(3, configChange(3), upstreamChange("leaves", 2)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			switch {
			case time.Since(begin) < outage:
				return feed.Batch{}, errors.New("platform unreachable")
			case after < 5:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
			}
			return watchUnchanged(ctx, after, wait)
		}})
		time.Sleep(outage + feed.DefaultConfig(revoke, apply).BackoffMax)
		g.Expect(f.Snapshot().View.Upstream("leaves")).NotTo(BeNil(), "lapsed, still in use")

		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		peer := feed.New(testConfig(), &fakeSource{list: func(ctx context.Context) (feed.Batch, error) { return watchUnanswered(ctx, 0, 0) }, watch: watchUnanswered},
			clock, zerolog.Nop(), func() bool { return false }, func() {})
		peer.Import(f.Export(feed.StateVersion{}), clock())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go peer.Run(ctx)
		g.Expect(peer.Snapshot().View.Upstream("leaves")).NotTo(BeNil())
		time.Sleep(registry.LapseGrace + 400*time.Millisecond)
		g.Expect(peer.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// Guards against a router that missed a lapse and keeps using the upstream.
func TestRouterThatMissedALapseLearnsThatTheUpstreamIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		follower := func() *feed.Feed {
			unreachable := func(context.Context) (feed.Batch, error) { return feed.Batch{}, errors.New("platform unreachable") }
			f := feed.New(testConfig(), &fakeSource{list: unreachable, watch: watchUnchanged}, clock, zerolog.Nop(), func() bool { return false }, func() {})
			f.Import(&feed.PeerState{
				Revision: 16, Config: configChange(3).Config, Upstreams: []registry.Upstream{*upstreamChange("leaves", 14).Upstream, *upstreamChange("stays", 2).Upstream},
			}, clock())
			go f.Run(ctx)
			return f
		}
		peer, late := follower(), follower()
		peer.Import(&feed.PeerState{
			Revision: 22, Since: 16, Upstreams: []registry.Upstream{*upstreamChange("leaves", 14).Upstream},
			Lapsed: map[string]int64{"leaves": int64(registry.LapseGrace)},
		}, clock())
		time.Sleep(registry.LapseGrace + time.Second)
		g.Expect(peer.Snapshot().View.Upstream("leaves")).To(BeNil())
		late.Import(peer.Export(late.StateVersion()), clock())
		g.Expect(late.Snapshot().Revision).To(Equal(int64(22)))
		g.Expect(late.Snapshot().View.Upstream("leaves")).To(BeNil())
		g.Expect(late.Snapshot().View.Upstream("stays")).NotTo(BeNil())
	})
}
