package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/revision"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Feed maintains a local copy of the state of a Source. It is safe for concurrent
// use.
type Feed struct {
	cfg    Config
	source Source
	now    boottime.Clock
	log    zerolog.Logger
	// isReader reports whether this router is one of those that read the platform.
	isReader func() bool
	// onChange is called after a changed snapshot is stored.
	onChange func()

	snapshot atomic.Pointer[Snapshot]
	// confirmedAt is the boottime.Time as of which the snapshot was confirmed to be
	// the newest.
	confirmedAt atomic.Int64
	calls       atomic.Int64
	// oversized counts watches whose answer was too large.
	oversized atomic.Int64
	// stalled and tooSlow count answers that ended for lack of progress or of time.
	stalled, tooSlow atomic.Int64
	// listing is owned by the goroutine that reads the platform.
	listing listing

	// mu guards the fields below.
	mu        sync.Mutex
	upstreams *registry.Registry
	changes   changeLog
	table     *routing.Table
	revision  int64
	// recoveredAt is when the platform first responded after the last outage.
	recoveredAt boottime.Time

	// failedAt is when the platform last failed to answer, as a boottime.Time; 0 if it answered
	// the last call.
	failedAt atomic.Int64
}

// New returns a feed. Run starts it.
func New(cfg Config, source Source, now boottime.Clock, log zerolog.Logger, isReader func() bool, onChange func()) *Feed {
	return &Feed{cfg: cfg, source: source, now: now, log: log, isReader: isReader, onChange: onChange, upstreams: registry.New()}
}

// Snapshot returns the newest snapshot, or nil if no configuration has been
// received yet.
func (f *Feed) Snapshot() *Snapshot {
	s := f.snapshot.Load()
	if s == nil || s.Table == nil {
		return nil
	}
	return s
}

// Calls returns the number of calls made to the platform.
func (f *Feed) Calls() int64 { return f.calls.Load() }

// Oversized returns the number of watches whose answer was too large.
func (f *Feed) Oversized() int64 { return f.oversized.Load() }

// Stalled returns the number of answers of the platform that started to arrive and then brought no byte
// for a while.
func (f *Feed) Stalled() int64 { return f.stalled.Load() }

// TooSlow returns the number of answers of the platform that did not arrive whole in Config.MaxReadTime.
func (f *Feed) TooSlow() int64 { return f.tooSlow.Load() }

// ConfirmedAt returns the time as of which the snapshot was confirmed, or 0 if it
// never was.
func (f *Feed) ConfirmedAt() boottime.Time { return boottime.Time(f.confirmedAt.Load()) }

// Age returns the time since the snapshot was confirmed, or one hour if it never
// was.
func (f *Feed) Age() time.Duration {
	at := f.ConfirmedAt()
	if at == 0 {
		return time.Hour
	}
	return f.now().Sub(at)
}

// Fresh reports whether the snapshot is recent enough to serve requests from.
//
// A revoked key must not be accepted for longer than the bound that the operators
// set. A router that no longer receives changes can't detect a revocation, so it
// must stop serving keyed requests once its snapshot exceeds MaxServingAge.
func (f *Feed) Fresh() bool { return f.FreshAtAge(f.Age()) }

// FreshAtAge reports whether a snapshot of the given age is recent enough to serve requests from, at
// this router or at a peer.
func (f *Feed) FreshAtAge(age time.Duration) bool { return age < f.cfg.MaxServingAge }

// confirm records that the snapshot was the newest at the given time; the recorded
// time never decreases. A time in the future is the sender's error and is ignored:
// it would keep the snapshot fresh for that much longer.
func (f *Feed) confirm(at boottime.Time) {
	if now := f.now(); at > now {
		f.log.Error().Str("event", "peer_state").Dur("ahead", at.Sub(now)).Msg("ignored a confirmation time in the future")
		return
	}
	for {
		old := f.confirmedAt.Load()
		if old >= int64(at) || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// apply applies the changes returned by a read that was sent at sentAt. changed is set if the state
// has changed already.
func (f *Feed) apply(b Batch, sentAt boottime.Time, changed bool) {
	f.mu.Lock()
	if revision.Epoch(b.Revision) < revision.Epoch(f.revision) {
		f.mu.Unlock()
		return // a peer has sent a state of a later epoch meanwhile
	}
	for _, c := range b.Changes {
		changed = f.applyChange(c) || changed
	}
	f.revision = max(f.revision, b.Revision)
	if f.upstreams.Expire(f.now()) {
		changed = true
	}
	f.storeSnapshot(changed)
	f.mu.Unlock()
	f.confirm(sentAt)
	if changed {
		f.onChange()
	}
}

// applyChange applies one change and reports whether it had an effect.
func (f *Feed) applyChange(c Change) bool {
	switch {
	case c.Config != nil:
		return f.applyConfig(c.Config)
	case c.Evacuation != nil:
		f.upstreams.RecordEvacuation(f.now(), c.Evacuation.Domain, c.Evacuation.Ended, c.Revision)
	case c.Upstream != nil:
		if !f.upstreams.Put(f.now(), *c.Upstream) {
			return false
		}
		f.changes.add(c.Revision, c.Upstream.ID)
		f.log.Info().Str("event", "upstream").Str("upstream", c.Upstream.ID).Str("service", c.Upstream.Service).
			Str("address", c.Upstream.Address).Str("version", c.Upstream.Version).Int64("started", c.Upstream.Started).Bool("draining", c.Upstream.Draining).Int64("warm_up_ms", c.Upstream.WarmUpLeft.Milliseconds()).Int64("epoch", revision.Epoch(c.Revision)).Int64("revision", revision.Counter(c.Revision)).Msg("upstream published")
	default:
		f.removeUpstream(c)
	}
	return true
}

// removeUpstream removes an upstream. Around a platform outage entries lapse although
// their upstreams are still running; these remain in use for a grace period in which
// they can register again.
func (f *Feed) removeUpstream(c Change) {
	now := f.now()
	f.changes.add(c.Revision, c.DeletedUpstream)
	if f.recoveredAt != 0 && now.Sub(f.recoveredAt) < lapseWindow {
		f.upstreams.Lapse(c.DeletedUpstream, now.Add(registry.LapseGrace))
		f.log.Info().Str("event", "upstream").Str("upstream", c.DeletedUpstream).Int64("epoch", revision.Epoch(c.Revision)).Int64("revision", revision.Counter(c.Revision)).Msg("upstream lapsed")
		return
	}
	f.upstreams.Delete(c.DeletedUpstream, c.Revision)
	f.log.Info().Str("event", "upstream").Str("upstream", c.DeletedUpstream).Int64("epoch", revision.Epoch(c.Revision)).Int64("revision", revision.Counter(c.Revision)).Msg("upstream gone")
}

const (
	// minOutage is the minimum time without a confirmed state after which entries may
	// have lapsed. An upstream lapses after three missed heartbeats; at the shortest
	// heartbeat interval in use, 1.2 s, the last one before an outage stays valid until
	// 2.4 s into it. After a shorter failure, or one of this router alone, a deleted
	// entry is an upstream that has left: the grace period on top of the detection
	// delay would send it requests beyond the two seconds within which they must stop.
	minOutage = 2 * time.Second
	// lapseWindow is how long after the platform recovers entries may still lapse
	// and be registered again.
	lapseWindow = 2 * time.Second
)

// applyConfig applies a configuration with a higher version and reports whether it
// did. The version never decreases within one process, whatever a late or stale
// read returns.
func (f *Feed) applyConfig(c *routing.Config) bool {
	if f.table != nil && f.table.Config.Version >= c.Version {
		return false
	}
	f.table = routing.NewTable(c)
	f.log.Info().Str("event", "config").Int64("version", c.Version).Int("routes", len(c.Routes)).
		Int("teams", len(c.Teams)).Msg("configuration in force")
	return true
}

// storeSnapshot stores a snapshot of the current state. It keeps the old one if neither
// the state nor the revision changed. The caller holds mu.
func (f *Feed) storeSnapshot(changed bool) {
	old := f.snapshot.Load()
	if !changed && old != nil {
		if old.Revision == f.revision {
			return
		}
		f.snapshot.Store(&Snapshot{Table: old.Table, View: old.View, Revision: f.revision})
		return
	}
	s := &Snapshot{Table: f.table, View: f.upstreams.View(), Revision: f.revision}
	f.logEvacuations(old, s)
	f.snapshot.Store(s)
}

// logEvacuations logs the evacuated failure domains if they changed.
func (f *Feed) logEvacuations(old, s *Snapshot) {
	var before []string
	if old != nil {
		before = old.View.Evacuated()
	}
	if now := s.View.Evacuated(); !slices.Equal(before, now) {
		f.log.Warn().Str("event", "evacuation").Strs("failure_domains", now).Int64("revision", revision.Counter(s.Revision)).
			Dur("age", f.Age()).Msg("evacuated failure domains changed")
	}
}

// expire removes lapsed upstreams whose grace period has ended.
func (f *Feed) expire() {
	f.mu.Lock()
	changed := f.upstreams.Expire(f.now())
	if changed {
		f.storeSnapshot(true)
	}
	f.mu.Unlock()
	if changed {
		f.onChange()
	}
}

// expireInterval is how often lapsed upstreams are checked. Together with LapseGrace
// it stays below the two seconds after which a leaving upstream must get no requests.
const expireInterval = 250 * time.Millisecond

// runExpiry calls expire periodically until ctx ends. It runs concurrently with the
// reads, so that a read that hangs can't keep an expired upstream in use.
func (f *Feed) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expireInterval)
		f.expire()
	}
}

// Run keeps the state up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	go f.runExpiry(ctx)
	f.awaitFirstState(ctx)
	backoff := f.cfg.BackoffMin
	for ctx.Err() == nil {
		if f.Snapshot() != nil && !f.isReader() && f.Age() < f.cfg.MaxFollowerAge {
			sleep(ctx, f.cfg.MaxFollowerAge/8)
			continue
		}
		readAt := f.now()
		if f.read(ctx) {
			backoff = f.cfg.BackoffMin
			sleep(ctx, f.cfg.MinInterval-f.now().Sub(readAt))
			continue
		}
		if f.isFollower() {
			f.awaitPeerState(ctx, readAt)
			continue
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, f.cfg.BackoffMax)
	}
}

// followerBackoff is the minimum time between two reads of a follower, which reads only because its
// state is too old, if the first one fails; followerBackoffSpread is added at most. Hundreds of
// routers that keep retrying would make thousands of useless calls. But the designated readers may be
// alive and have no path to the platform, and a router that has one must follow it within 3 s.
const (
	followerBackoff       = 2 * time.Second
	followerBackoffSpread = 500 * time.Millisecond
)

// isFollower reports whether this router receives its state from peers.
func (f *Feed) isFollower() bool { return f.Snapshot() != nil && !f.isReader() }

// awaitPeerState waits until peers have confirmed a recent state, this router becomes a
// reader, or the backoff after a read at readAt ends. The backoff is randomized: otherwise all
// followers would call the platform at the same time once it recovers.
func (f *Feed) awaitPeerState(ctx context.Context, readAt boottime.Time) {
	deadline := readAt.Add(followerBackoff + rand.N(followerBackoffSpread))
	for ctx.Err() == nil && f.isFollower() && f.Age() >= f.cfg.MaxFollowerAge && f.now() < deadline {
		sleep(ctx, f.cfg.MaxFollowerAge/8)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
