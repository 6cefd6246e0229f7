package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

const (
	revoke = 5 * time.Second
	apply  = 2 * time.Second
)

// scripted is a platform whose answers a test sets.
type scripted struct {
	list  func(ctx context.Context) (feed.Batch, error)
	watch func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error)
}

func (s *scripted) List(ctx context.Context) (feed.Batch, error) { return s.list(ctx) }

func (s *scripted) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	return s.watch(ctx, after, wait)
}

func config(version int64) feed.Change {
	return feed.Change{Revision: version, Config: &routing.Config{Version: version}}
}

func up(id string, revision int64) feed.Change {
	return feed.Change{Revision: revision, Upstream: &registry.Upstream{ID: id, Service: "llm", Revision: revision}}
}

func listing(revision int64, changes ...feed.Change) func(context.Context) (feed.Batch, error) {
	return func(context.Context) (feed.Batch, error) {
		return feed.Batch{Changes: changes, Revision: revision}, nil
	}
}

// quiet answers a watch after its wait, with nothing new.
func quiet(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	if err := sleep(ctx, wait); err != nil {
		return feed.Batch{}, err
	}
	return feed.Batch{Revision: after}, nil
}

// silent never answers, as a connection that something on the way forgot.
func silent(ctx context.Context, _ int64, _ time.Duration) (feed.Batch, error) {
	<-ctx.Done()
	return feed.Batch{}, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// start runs a feed in the bubble and returns it.
func start(t *testing.T, source feed.Source) *feed.Feed {
	begin := time.Now()
	clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
	f := feed.New(feed.DefaultConfig(revoke, apply), source, clock, zerolog.Nop(), func() bool { return true }, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

// A key that was taken away would go on being served. The connection to the
// platform goes silent; the router can't hear of the change. Its right to serve
// ends by itself before the bound, counted from when its last read was sent.
func TestAuthorityEndsWhenThePlatformFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var cut atomic.Bool
		f := start(t, &scripted{list: listing(3, config(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			if cut.Load() {
				return silent(ctx, after, wait)
			}
			return quiet(ctx, after, wait)
		}})
		time.Sleep(10 * time.Second)
		g.Expect(f.Fresh()).To(BeTrue())
		cut.Store(true)
		time.Sleep(revoke)
		g.Expect(f.Fresh()).To(BeFalse())
	})
}

// A healthy platform never costs a router its right, between any two reads.
func TestAuthorityHoldsWhileThePlatformAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, &scripted{list: listing(3, config(3)), watch: quiet})
		time.Sleep(time.Second)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Fresh()).To(BeTrue())
			g.Expect(f.Age()).To(BeNumerically("<", revoke/2))
		}
	})
}

// One silent connection must not cost the right: the next read goes out in time
// on another connection and asks for what there is at once.
func TestOneSilentWatchIsBorne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		f := start(t, &scripted{list: listing(3, config(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			calls++
			if calls%4 == 0 {
				return silent(ctx, after, wait)
			}
			return quiet(ctx, after, wait)
		}})
		time.Sleep(time.Second)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Fresh()).To(BeTrue())
		}
	})
}

// A route that was just added would answer 404 again: a read that is late brings
// an older configuration. Within one process a version never goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		versions := []int64{7, 5, 6}
		f := start(t, &scripted{list: listing(3, config(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			if len(versions) == 0 {
				return quiet(ctx, after, wait)
			}
			v := versions[0]
			versions = versions[1:]
			return feed.Batch{Changes: []feed.Change{config(v)}, Revision: after + 1}, nil
		}})
		time.Sleep(time.Second)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(7)))
		f.Import(&feed.PeerState{Revision: 99, Config: &routing.Config{Version: 6}}, 0)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(7)))
	})
}

// A peer's word must not make a state look younger than it is, however late it
// comes: it counts from when this router asked, less the age that the peer told.
func TestPeersWordIsDatedByTheQuestion(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	asked := now.Add(-2 * time.Second)
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: int64(time.Second), Config: &routing.Config{Version: 1}}, asked)
	g.Expect(f.Age()).To(Equal(3 * time.Second))
	g.Expect(f.ConfirmRevision(4, now.Add(-time.Second))).To(BeFalse())
	g.Expect(f.Age()).To(Equal(time.Second))
	g.Expect(f.ConfirmRevision(4, now.Add(-4*time.Second))).To(BeFalse())
	g.Expect(f.Age()).To(Equal(time.Second), "an older word changes nothing")
	g.Expect(f.ConfirmRevision(5, now)).To(BeTrue(), "the peer knows more")
	g.Expect(f.Age()).To(Equal(time.Second), "its word isn't about this state")
}

// A peer tells what has changed since a revision that this router hasn't reached, as
// it may have mistaken it for another. The changes before would be missing for good,
// and an upstream that left among them would be used on: nothing is taken in, and the
// old state isn't taken for confirmed.
func TestChangesThatDontJoinAreNotTakenIn(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	asked := now.Add(-time.Second)
	f.Import(&feed.PeerState{Revision: 4, Config: &routing.Config{Version: 1}, Upstreams: []registry.Upstream{{ID: "leaves", Revision: 2}}}, asked)
	f.Import(&feed.PeerState{Revision: 9, Since: 7, Upstreams: []registry.Upstream{{ID: "comes", Revision: 8}}}, now)
	g.Expect(f.StateVersion().Revision).To(Equal(int64(4)))
	g.Expect(f.Snapshot().View.Upstream("comes")).To(BeNil())
	g.Expect(f.Age()).To(Equal(time.Second))
}

// A date in the future would keep a router's right to serve for as long, whatever it
// doesn't hear. No word of a peer can give one.
func TestNoWordDatesAViewInTheFuture(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: int64(time.Second), Config: &routing.Config{Version: 1}}, now)
	g.Expect(f.Age()).To(Equal(time.Second))
	f.ConfirmRevision(4, now.Add(time.Hour))
	g.Expect(f.Age()).To(Equal(time.Second))
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: -int64(time.Hour)}, now)
	g.Expect(f.Age()).To(Equal(time.Second))
	now = now.Add(revoke)
	g.Expect(f.Fresh()).To(BeFalse())
}

// A suspended VM wakes with a view that is long out of date.
func TestAuthorityCountsTheTimeOfASuspension(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(feed.DefaultConfig(revoke, apply), &scripted{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	f.Import(&feed.PeerState{Revision: 4, Config: &routing.Config{Version: 1}}, now)
	g.Expect(f.Fresh()).To(BeTrue())
	now = now.Add(revoke) // the boot clock went on; nothing of the process ran
	g.Expect(f.Fresh()).To(BeFalse())
}

// A change would come into force late: the routers that read the platform are
// cut off from it without a sign, and the others rely on them. Their word grows
// old, and each router reads by itself in time.
func TestChangeIsInForceInTimeThoughTheReadersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		var version atomic.Int64
		version.Store(1)
		source := &scripted{
			list: func(context.Context) (feed.Batch, error) {
				return feed.Batch{Changes: []feed.Change{config(version.Load())}, Revision: version.Load()}, nil
			},
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if v := version.Load(); v > after {
					return feed.Batch{Changes: []feed.Change{config(v)}, Revision: v}, nil
				}
				return quiet(ctx, after, wait)
			},
		}
		f := feed.New(feed.DefaultConfig(revoke, apply), source, clock, zerolog.Nop(), func() bool { return false }, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		time.Sleep(time.Second)
		// A reader vouches for the state three times a second, until it is cut off.
		for range 30 {
			f.ConfirmRevision(1, clock().Add(-2*feed.DefaultConfig(revoke, apply).WatchWait))
			time.Sleep(300 * time.Millisecond)
		}
		version.Store(2)
		time.Sleep(apply - 100*time.Millisecond)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(2)))
	})
}
