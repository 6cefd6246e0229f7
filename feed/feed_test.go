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

// fakeSource is a platform whose responses a test sets.
type fakeSource struct {
	list  func(ctx context.Context) (feed.Batch, error)
	watch func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error)
}

func (s *fakeSource) List(ctx context.Context, _ string) (feed.Page, error) {
	b, err := s.list(ctx)
	return feed.Page{Batch: b}, err
}

func (s *fakeSource) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	return s.watch(ctx, after, wait)
}

func configChange(version int64) feed.Change {
	return feed.Change{Revision: version, Config: &routing.Config{Version: version}}
}

func upstreamChange(id string, revision int64) feed.Change {
	return feed.Change{Revision: revision, Upstream: &registry.Upstream{ID: id, Service: "llm", Revision: revision}}
}

func listOf(revision int64, changes ...feed.Change) func(context.Context) (feed.Batch, error) {
	return func(context.Context) (feed.Batch, error) {
		return feed.Batch{Changes: changes, Revision: revision}, nil
	}
}

// watchUnchanged returns from a watch after its wait, without changes.
func watchUnchanged(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	if err := sleep(ctx, wait); err != nil {
		return feed.Batch{}, err
	}
	return feed.Batch{Revision: after}, nil
}

// watchUnanswered never responds, like a connection whose state was lost by a
// middlebox.
func watchUnanswered(ctx context.Context, _ int64, _ time.Duration) (feed.Batch, error) {
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

// testConfig returns the configuration of a router that doesn't wait for peers when it starts.
func testConfig() feed.Config {
	cfg := feed.DefaultConfig(revoke, apply)
	cfg.JoinTime, cfg.FirstStateWait = 0, 0
	return cfg
}

// start runs a feed in the synctest bubble and returns it.
func start(t *testing.T, source feed.Source) *feed.Feed {
	begin := time.Now()
	clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
	f := feed.New(testConfig(), source, clock, zerolog.Nop(), func() bool { return true }, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

// A revoked key would still be accepted: the connection to the platform becomes
// unresponsive and the router doesn't receive the change. The state must stop being
// fresh before the bound, counted from when the last read was sent.
func TestStateExpiresWhenPlatformStopsResponding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var unresponsive atomic.Bool
		f := start(t, &fakeSource{list: listOf(3, configChange(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			if unresponsive.Load() {
				return watchUnanswered(ctx, after, wait)
			}
			return watchUnchanged(ctx, after, wait)
		}})
		time.Sleep(10 * time.Second)
		g.Expect(f.Fresh()).To(BeTrue())
		unresponsive.Store(true)
		time.Sleep(revoke)
		g.Expect(f.Fresh()).To(BeFalse())
	})
}

// While the platform is healthy, the state must stay fresh between any two reads.
func TestStateStaysFreshWhilePlatformResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, &fakeSource{list: listOf(3, configChange(3)), watch: watchUnchanged})
		time.Sleep(time.Second)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Fresh()).To(BeTrue())
			g.Expect(f.Age()).To(BeNumerically("<", revoke/2))
		}
	})
}

// One unresponsive connection must not make the state stale: the next read is sent
// in time on another connection and doesn't wait for changes.
func TestOneUnansweredWatchIsTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		f := start(t, &fakeSource{list: listOf(3, configChange(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			calls++
			if calls%4 == 0 {
				return watchUnanswered(ctx, after, wait)
			}
			return watchUnchanged(ctx, after, wait)
		}})
		time.Sleep(time.Second)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.Fresh()).To(BeTrue())
		}
	})
}

// A late read returns an older configuration, and a route that was just added would
// respond with 404 again. The version must never decrease within one process.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		versions := []int64{7, 5, 6}
		f := start(t, &fakeSource{list: listOf(3, configChange(3)), watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
			if len(versions) == 0 {
				return watchUnchanged(ctx, after, wait)
			}
			v := versions[0]
			versions = versions[1:]
			return feed.Batch{Changes: []feed.Change{configChange(v)}, Revision: after + 1}, nil
		}})
		time.Sleep(time.Second)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(7)))
		f.Import(&feed.PeerState{Revision: 99, Config: &routing.Config{Version: 6}}, 0)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(7)))
	})
}

// A delayed peer message must not make a state appear younger than it is: the state
// is dated from when this router sent its request, less the age the peer reported.
func TestPeerStateIsDatedFromRequestTime(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(testConfig(), &fakeSource{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	requestedAt := now.Add(-2 * time.Second)
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: int64(time.Second), Config: &routing.Config{Version: 1}}, requestedAt)
	g.Expect(f.Age()).To(Equal(3 * time.Second))
	g.Expect(f.ConfirmRevision(4, now.Add(-time.Second))).To(BeFalse())
	g.Expect(f.Age()).To(Equal(time.Second))
	g.Expect(f.ConfirmRevision(4, now.Add(-4*time.Second))).To(BeFalse())
	g.Expect(f.Age()).To(Equal(time.Second), "an older confirmation changes nothing")
	g.Expect(f.ConfirmRevision(5, now)).To(BeTrue(), "the peer has a newer revision")
	g.Expect(f.Age()).To(Equal(time.Second), "a newer revision doesn't confirm this state")
}

// A peer sends the changes since a revision that this router hasn't reached, for example
// because it confused this router with another. The earlier changes would be lost, and an
// upstream that left among them would stay in use. No change may be applied, and the old
// state must not count as confirmed.
func TestNonContiguousChangesAreRejected(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(testConfig(), &fakeSource{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	requestedAt := now.Add(-time.Second)
	f.Import(&feed.PeerState{Revision: 4, Config: &routing.Config{Version: 1}, Upstreams: []registry.Upstream{{ID: "leaves", Revision: 2}}}, requestedAt)
	f.Import(&feed.PeerState{Revision: 9, Since: 7, Upstreams: []registry.Upstream{{ID: "comes", Revision: 8}}}, now)
	g.Expect(f.StateVersion().Revision).To(Equal(int64(4)))
	g.Expect(f.Snapshot().View.Upstream("comes")).To(BeNil())
	g.Expect(f.Age()).To(Equal(time.Second))
}

// A confirmation time in the future would keep a router's state fresh for that much
// longer, although it misses changes. No peer message may set one.
func TestPeerCannotDateStateInTheFuture(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(testConfig(), &fakeSource{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: int64(time.Second), Config: &routing.Config{Version: 1}}, now)
	g.Expect(f.Age()).To(Equal(time.Second))
	f.ConfirmRevision(4, now.Add(time.Hour))
	g.Expect(f.Age()).To(Equal(time.Second))
	f.Import(&feed.PeerState{Revision: 4, AgeNanos: -int64(time.Hour)}, now)
	g.Expect(f.Age()).To(Equal(time.Second))
	now = now.Add(revoke)
	g.Expect(f.Fresh()).To(BeFalse())
}

// A VM resumes from suspension with a state that is long out of date.
func TestStateAgeIncludesVMSuspension(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(testConfig(), &fakeSource{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	f.Import(&feed.PeerState{Revision: 4, Config: &routing.Config{Version: 1}}, now)
	g.Expect(f.Fresh()).To(BeTrue())
	now = now.Add(revoke) // the boot clock advanced while the process was suspended
	g.Expect(f.Fresh()).To(BeFalse())
}

// The routers that read the platform lose it undetected while the others rely on
// them, so a change would be applied late. The state received from them ages, and
// each router must then read the platform itself in time.
func TestChangeIsInForceInTimeThoughTheReadersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begin := time.Now()
		clock := func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }
		var version atomic.Int64
		version.Store(1)
		source := &fakeSource{
			list: func(context.Context) (feed.Batch, error) {
				return feed.Batch{Changes: []feed.Change{configChange(version.Load())}, Revision: version.Load()}, nil
			},
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if v := version.Load(); v > after {
					return feed.Batch{Changes: []feed.Change{configChange(v)}, Revision: v}, nil
				}
				return watchUnchanged(ctx, after, wait)
			},
		}
		f := feed.New(testConfig(), source, clock, zerolog.Nop(), func() bool { return false }, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
		time.Sleep(time.Second)
		// A reader confirms the state three times a second, until it loses the platform.
		for range 30 {
			f.ConfirmRevision(1, clock().Add(-2*feed.DefaultConfig(revoke, apply).WatchWait))
			time.Sleep(300 * time.Millisecond)
		}
		version.Store(2)
		time.Sleep(apply - 100*time.Millisecond)
		g.Expect(f.Snapshot().ConfigVersion()).To(Equal(int64(2)))
	})
}
