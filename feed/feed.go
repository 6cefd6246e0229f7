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
	"github.com/aspenswitch/aspenswitch/routing"
)

// Feed follows a Source. Its methods may be called by many goroutines.
type Feed struct {
	cfg    Config
	source Source
	now    boottime.Clock
	log    zerolog.Logger
	// reads reports whether this router is one of those that read the platform.
	reads func() bool
	// onChange is told of a new snapshot.
	onChange func()

	snapshot atomic.Pointer[Snapshot]
	// fresh is the moment as of which the snapshot is known to be the newest.
	fresh atomic.Int64
	calls atomic.Int64

	// mu guards what follows.
	mu       sync.Mutex
	upstream *registry.Registry
	changes  changeLog
	table    *routing.Table
	revision int64
	// regained is when the platform answered again after an outage.
	regained boottime.Time
	failing  bool
}

// New returns a feed that Run starts.
func New(cfg Config, source Source, now boottime.Clock, log zerolog.Logger, reads func() bool, onChange func()) *Feed {
	return &Feed{cfg: cfg, source: source, now: now, log: log, reads: reads, onChange: onChange, upstream: registry.New()}
}

// Snapshot returns the newest state, nil if none is known yet.
func (f *Feed) Snapshot() *Snapshot {
	s := f.snapshot.Load()
	if s == nil || s.Table == nil {
		return nil
	}
	return s
}

// Calls is the number of calls made to the platform.
func (f *Feed) Calls() int64 { return f.calls.Load() }

// ConfirmedAt is the moment as of which the snapshot was confirmed, 0 if never.
func (f *Feed) ConfirmedAt() boottime.Time { return boottime.Time(f.fresh.Load()) }

// Age is how long ago the snapshot was confirmed.
func (f *Feed) Age() time.Duration {
	at := f.ConfirmedAt()
	if at == 0 {
		return time.Hour
	}
	return f.now().Sub(at)
}

// Fresh reports whether the snapshot is fresh enough to act upon.
//
// A key that was taken away must not be served for longer than the operators'
// bound. A router that no longer hears of changes can't know, so its right to
// serve keyed requests ends by itself.
func (f *Feed) Fresh() bool { return f.Age() < f.cfg.MaxServingAge }

// confirm dates the snapshot; a date only moves forward. One that lies ahead is a
// fault of whoever gave it, and would keep the right to serve for as long.
func (f *Feed) confirm(at boottime.Time) {
	if now := f.now(); at > now {
		f.log.Error().Str("event", "peer_state").Dur("ahead", at.Sub(now)).Msg("date in the future left out")
		return
	}
	for {
		old := f.fresh.Load()
		if old >= int64(at) || f.fresh.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// apply takes in changes that a read sent at a moment confirmed as complete up
// to a revision.
func (f *Feed) apply(b Batch, sent boottime.Time) {
	f.mu.Lock()
	changed := false
	for _, c := range b.Changes {
		changed = f.change(c) || changed
	}
	f.revision = max(f.revision, b.Revision)
	if f.upstream.Expire(f.now()) {
		changed = true
	}
	f.publish(changed)
	f.mu.Unlock()
	f.confirm(sent)
	if changed {
		f.onChange()
	}
}

// change takes in one change and reports whether it had an effect.
func (f *Feed) change(c Change) bool {
	switch {
	case c.Config != nil:
		return f.adopt(c.Config)
	case c.Evacuation != nil:
		f.upstream.RecordEvacuation(f.now(), c.Evacuation.Domain, c.Evacuation.Ended, c.Revision)
	case c.Upstream != nil:
		f.upstream.Put(f.now(), *c.Upstream)
		f.changes.add(c.Revision, c.Upstream.ID)
		f.log.Info().Str("event", "upstream").Str("upstream", c.Upstream.ID).Str("service", c.Upstream.Service).
			Str("address", c.Upstream.Address).Int64("started", c.Upstream.Started).Bool("draining", c.Upstream.Draining).Int64("warm_up_ms", c.Upstream.WarmUpLeft.Milliseconds()).Int64("revision", c.Revision).Msg("upstream published")
	default:
		f.remove(c)
	}
	return true
}

// remove takes out an upstream. Around an outage of the platform entries lapse
// though their upstreams live; those get the time to come back.
func (f *Feed) remove(c Change) {
	now := f.now()
	f.changes.add(c.Revision, c.DeletedUpstream)
	if f.regained != 0 && now.Sub(f.regained) < returnTime {
		f.upstream.Lapse(c.DeletedUpstream, now.Add(registry.LapseGrace))
		f.log.Info().Str("event", "upstream").Str("upstream", c.DeletedUpstream).Int64("revision", c.Revision).Msg("upstream lapsed")
		return
	}
	f.upstream.Delete(c.DeletedUpstream, c.Revision)
	f.log.Info().Str("event", "upstream").Str("upstream", c.DeletedUpstream).Int64("revision", c.Revision).Msg("upstream gone")
}

const (
	// outage is the least time without a confirmed view after which entries may have
	// lapsed. An upstream lapses after three heartbeats of silence; at the fastest in
	// use, 1.2 s, the last one before an outage holds 2.4 s into it. After a shorter
	// failure, or one of this router alone, what is gone has left: with the grace on
	// top of the time until it is heard of it would get work beyond the two seconds
	// within which that must end.
	outage = 2 * time.Second
	// returnTime is how long after the platform's return entries may still lapse
	// and come back.
	returnTime = 2 * time.Second
)

// adopt puts a newer configuration in force. A version never goes back within
// one process, whatever a late or stale read says.
func (f *Feed) adopt(c *routing.Config) bool {
	if f.table != nil && f.table.Config.Version >= c.Version {
		return false
	}
	f.table = routing.NewTable(c)
	f.log.Info().Str("event", "config").Int64("version", c.Version).Int("routes", len(c.Routes)).
		Int("teams", len(c.Teams)).Msg("configuration in force")
	return true
}

// publish makes the state visible to readers. The caller holds mu.
func (f *Feed) publish(changed bool) {
	old := f.snapshot.Load()
	if !changed && old != nil {
		if old.Revision == f.revision {
			return
		}
		f.snapshot.Store(&Snapshot{Table: old.Table, View: old.View, Revision: f.revision})
		return
	}
	s := &Snapshot{Table: f.table, View: f.upstream.View(), Revision: f.revision}
	f.logEvacuations(old, s)
	f.snapshot.Store(s)
}

// logEvacuations tells which failure domains are being evacuated, whenever that changes.
func (f *Feed) logEvacuations(old, s *Snapshot) {
	var before []string
	if old != nil {
		before = old.View.Evacuated()
	}
	if now := s.View.Evacuated(); !slices.Equal(before, now) {
		f.log.Warn().Str("event", "evacuation").Strs("failure_domains", now).Int64("revision", s.Revision).
			Dur("age", f.Age()).Msg("evacuated failure domains changed")
	}
}

// expire removes upstreams whose grace is over.
func (f *Feed) expire() {
	f.mu.Lock()
	changed := f.upstream.Expire(f.now())
	if changed {
		f.publish(true)
	}
	f.mu.Unlock()
	if changed {
		f.onChange()
	}
}

// expireEvery is how often lapsed upstreams are looked at; with LapseGrace it is
// less than the two seconds within which a leaving upstream must get no work.
const expireEvery = 250 * time.Millisecond

// expireAll removes upstreams whose grace is over, beside the reads: one that
// hangs must not keep an upstream in use.
func (f *Feed) expireAll(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, expireEvery)
		f.expire()
	}
}

// Run follows the platform until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	go f.expireAll(ctx)
	backoff, failures := f.cfg.BackoffMin, 0
	for ctx.Err() == nil {
		if f.Snapshot() != nil && !f.reads() && f.Age() < f.cfg.MaxFollowerAge {
			pause(ctx, f.cfg.MaxFollowerAge/8)
			continue
		}
		began := f.now()
		if f.read(ctx) {
			backoff, failures = f.cfg.BackoffMin, 0
			pause(ctx, f.cfg.MinInterval-f.now().Sub(began))
			continue
		}
		if failures++; failures >= followerReads && f.follows() {
			f.awaitPeers(ctx)
			continue
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, f.cfg.BackoffMax)
	}
}

// followerReads is how many reads must fail for a router that reads only because its view
// has grown old to leave it to those whose duty it is. One may be lost on the way; after
// two the platform is away for this router, and hundreds that go on asking it make
// thousands of calls in vain.
const followerReads = 2

// followerPause is the least time until such a router asks again, and half of the longest:
// peers tell of the platform's return within a second, and a router that hears none has
// the duty of reading.
const followerPause = 4 * time.Second

// follows reports whether this router relies on its peers.
func (f *Feed) follows() bool { return f.Snapshot() != nil && !f.reads() }

// awaitPeers waits until peers have told of a fresh view, this router has the duty of
// reading, or it is time to see whether the platform is back: not the same for all, or the
// platform would be asked by all at once when it is.
func (f *Feed) awaitPeers(ctx context.Context) {
	until := f.now().Add(followerPause + rand.N(followerPause))
	for ctx.Err() == nil && f.follows() && f.Age() >= f.cfg.MaxFollowerAge && f.now() < until {
		pause(ctx, f.cfg.MaxFollowerAge/8)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
