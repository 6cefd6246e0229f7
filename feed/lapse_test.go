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

// The platform forgets its history while an upstream leaves: no watch ever tells
// that it has gone. The router lists again and drops what is missing at once: the
// platform was never away, so nothing lapsed and comes back.
func TestUpstreamThatLeftInAGapOfTheHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lists := 0
		f := start(t, &scripted{
			list: func(context.Context) (feed.Batch, error) {
				lists++
				b := feed.Batch{Changes: []feed.Change{config(3), up("stays", 2)}, Revision: int64(10 * lists)}
				if lists == 1 {
					b.Changes = append(b.Changes, up("leaves", 3))
				}
				return b, nil
			},
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if lists == 1 {
					return feed.Batch{}, feed.ErrHistoryGone
				}
				return quiet(ctx, after, wait)
			},
		})
		time.Sleep(500 * time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
		g.Expect(f.Snapshot().View.Upstream("stays")).NotTo(BeNil())
	})
}

// A router is cut off from the platform for seconds and lives on its peers' word,
// which is young all the while. Its first read of its own tells that an upstream has
// left. That is no lapse, since the platform was well: used for the grace on top of
// the time until it was heard of, the upstream would get work beyond the bound.
func TestRouterThatWasCutOffDropsWhatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		var cut atomic.Bool
		f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{
			list: listing(3, config(3), up("leaves", 2)),
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if cut.Load() {
					return feed.Batch{}, errors.New("no way to the platform")
				}
				if after < 5 {
					return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
				}
				return quiet(ctx, after, wait)
			},
		}, clock, zerolog.Nop(), func() bool { return true }, func() {})
		cut.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.ConfirmRevision(3, clock())
		}
		g.Expect(f.Snapshot().View.Upstream("leaves")).NotTo(BeNil())
		cut.Store(false)
		time.Sleep(feed.DefaultConfig(revoke, apply).BackoffMax + 100*time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// One lost connection is no outage: what leaves meanwhile has left.
func TestShortFailureIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		f := start(t, &scripted{list: listing(3, config(3), up("leaves", 2)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			calls++
			switch calls {
			case 1:
				return feed.Batch{}, errors.New("connection reset")
			case 2:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
			}
			return quiet(ctx, after, wait)
		}})
		time.Sleep(500 * time.Millisecond)
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// Around a long outage entries lapse though their upstreams live. Dropped at once
// they would all be missing until they are back, some two seconds later, and every
// request would be refused.
func TestUpstreamsThatLapsedInAnOutageAreUsedUntilTheyAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		away := func() bool { at := time.Since(begin); return at > time.Second && at < 6*time.Second }
		f := start(t, &scripted{list: listing(3, config(3), up("lives", 2), up("leaves", 3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			switch {
			case away():
				return feed.Batch{}, errors.New("platform is away")
			case time.Since(begin) > 7*time.Second && after < 9:
				return feed.Batch{Changes: []feed.Change{up("lives", 9)}, Revision: 9}, nil
			case time.Since(begin) > 6*time.Second && after < 6:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "lives"}, {Revision: 6, DeletedUpstream: "leaves"}}, Revision: 6}, nil
			}
			return quiet(ctx, after, wait)
		}})
		for time.Since(begin) < 12*time.Second {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Snapshot().View.Upstream("lives")).NotTo(BeNil(), "after %v", time.Since(begin))
		}
		g.Expect(f.Snapshot().View.Upstream("leaves")).To(BeNil())
	})
}

// Requests would reach an upstream that has left. Around an outage a deletion is
// taken for a lapse and gets a grace; a router that learns from this one must
// end that grace too, though no later change tells it.
func TestPeersEndTheGraceOfALapsedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		const outage = 3 * time.Second
		f := start(t, &scripted{list: listing(3, config(3), up("leaves", 2)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			switch {
			case time.Since(begin) < outage:
				return feed.Batch{}, errors.New("platform is away")
			case after < 5:
				return feed.Batch{Changes: []feed.Change{{Revision: 5, DeletedUpstream: "leaves"}}, Revision: 5}, nil
			}
			return quiet(ctx, after, wait)
		}})
		time.Sleep(outage + feed.DefaultConfig(revoke, apply).BackoffMax)
		g.Expect(f.Snapshot().View.Upstream("leaves")).NotTo(BeNil(), "lapsed, still used")

		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		peer := feed.New(feed.DefaultConfig(revoke, apply), &scripted{list: func(ctx context.Context) (feed.Batch, error) { return silent(ctx, 0, 0) }, watch: silent},
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

// Guards against a router that missed a lapse and goes on using the upstream.
func TestRouterThatMissedALapseLearnsThatTheUpstreamIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		follower := func() *feed.Feed {
			away := func(context.Context) (feed.Batch, error) { return feed.Batch{}, errors.New("platform is away") }
			f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{list: away, watch: quiet}, clock, zerolog.Nop(), func() bool { return false }, func() {})
			f.Import(&feed.PeerState{
				Revision: 16, Config: config(3).Config, Upstreams: []registry.Upstream{*up("leaves", 14).Upstream, *up("stays", 2).Upstream},
			}, clock())
			go f.Run(ctx)
			return f
		}
		peer, late := follower(), follower()
		peer.Import(&feed.PeerState{
			Revision: 22, Since: 16, Upstreams: []registry.Upstream{*up("leaves", 14).Upstream},
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
