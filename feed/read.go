package feed

import (
	"context"
	"errors"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// read lists or watches the platform once and reports whether that succeeded.
func (f *Feed) read(ctx context.Context) bool {
	f.mu.Lock()
	after := f.revision
	lapsed := len(f.upstreams.Lapsed())
	f.mu.Unlock()
	if after == 0 {
		return f.list(ctx)
	}
	wait := f.cfg.WatchWait
	// After a failure, or if nobody has renewed the state, it may be old: fetch the pending changes
	// without waiting. A reader's own watches leave it younger.
	if f.failedAt.Load() != 0 || f.Age() > 2*f.cfg.WatchWait {
		wait = time.Millisecond
	}
	if lapsed > 0 {
		wait = min(wait, 200*time.Millisecond)
	}
	return f.watch(ctx, after, wait)
}

func (f *Feed) watch(ctx context.Context, after int64, wait time.Duration) bool {
	f.calls.Add(1)
	sentAt := f.now()
	call := f.newCall(ctx, wait+f.cfg.CallMargin)
	b, err := f.source.Watch(call.ctx, after, wait)
	err = call.end(err)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Warn().Str("event", "platform").Int64("after", after).Msg("history no longer available; listing again")
		return f.list(ctx)
	}
	if errors.Is(err, ErrAnswerTooLarge) {
		// The pages of a listing are bounded, and the state is smaller than its history.
		f.oversized.Add(1)
		f.log.Warn().Str("event", "platform").Int64("after", after).Err(err).Msg("changes are too large to be read at once; listing instead")
		return f.list(ctx)
	}
	if err != nil && call.progressed && ctx.Err() == nil {
		// The same watch would bring the same bytes again, and more. The pages of a listing are bounded.
		f.countFailure(err)
		f.log.Warn().Str("event", "platform").Int64("after", after).Err(err).Msg("failed to read all changes; listing instead")
		return f.list(ctx)
	}
	if err != nil {
		f.recordFailure(ctx, err, sentAt)
		return false
	}
	f.recordSuccess()
	f.listing = listing{}
	f.apply(b, sentAt, false)
	return true
}

// list reads the full state page by page. If a page fails, the next call continues with it:
// a listing that began again would never end at a router that is too slow to read all pages
// within one timeout.
func (f *Feed) list(ctx context.Context) bool {
	for {
		sentAt := f.now()
		page, err := f.listPage(ctx)
		if err != nil {
			f.recordFailure(ctx, err, sentAt)
			return false
		}
		f.recordSuccess()
		if f.ofEarlierEpoch(page.Revision) {
			f.listing = listing{}
			return false
		}
		if !f.listing.continuedBy(page) {
			f.listing = listing{}
			return false // the next call lists from the start
		}
		f.listing.add(sentAt, page)
		if page.Next == "" {
			break
		}
		if f.StateVersion().Revision >= f.listing.batch.Revision {
			f.listing = listing{} // a peer has sent a newer state meanwhile
			return true
		}
	}
	l := f.listing
	f.listing = listing{}
	f.applyListing(l)
	return true
}

// ofEarlierEpoch reports whether an answer of the platform is from before a restore of which this
// router has a later state.
func (f *Feed) ofEarlierEpoch(answered int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision.Epoch(answered) < revision.Epoch(f.revision)
}

func (f *Feed) listPage(ctx context.Context) (Page, error) {
	f.calls.Add(1)
	call := f.newCall(ctx, f.cfg.WatchWait+f.cfg.CallMargin)
	page, err := f.source.List(call.ctx, f.listing.next)
	return page, call.end(err)
}

// applyListing applies a complete listing. Upstreams missing from it have been deleted, or have
// lapsed during an outage.
func (f *Feed) applyListing(l listing) {
	b := l.batch
	f.mu.Lock()
	listed := make(map[string]bool, len(b.Changes))
	evacuated := map[string]int64{}
	for _, c := range b.Changes {
		if c.Upstream != nil {
			listed[c.Upstream.ID] = true
		}
		if c.Evacuation != nil {
			evacuated[c.Evacuation.Domain] = c.Revision
		}
	}
	f.beginEpoch(b.Revision)
	f.upstreams.ReplaceEvacuations(l.begunAt, evacuated, b.Revision)
	for _, id := range f.upstreams.Missing(listed) {
		f.removeUpstream(Change{DeletedUpstream: id, Revision: b.Revision})
	}
	// The log continues with what differs from the state before. Otherwise each peer would fetch
	// the whole state after the platform has discarded its history, all at the same time.
	if f.revision == 0 {
		f.changes.reset(b.Revision)
	}
	f.mu.Unlock()
	f.apply(b, l.begunAt, true)
}

// beginEpoch handles the first state after a restore of the platform. The copy may lack what was
// written last, and what was written again may not be complete yet: upstreams that are missing lapse,
// as after an outage. The caller holds mu.
func (f *Feed) beginEpoch(first int64) {
	if f.revision == 0 || revision.Epoch(first) <= revision.Epoch(f.revision) {
		return
	}
	now := f.now()
	f.recoveredAt = now
	f.upstreams.BeginEpoch(now, first)
	f.log.Warn().Str("event", "platform").Int64("epoch", revision.Epoch(first)).Int64("revision", revision.Counter(first)).
		Int64("earlier_epoch", revision.Epoch(f.revision)).Int64("earlier_revision", revision.Counter(f.revision)).Msg("platform was restored from an older copy")
}

// unreachableFor is how long a failed call counts. A router that doesn't read has no other way to
// learn that the platform answers it again.
const unreachableFor = 30 * time.Second

// PlatformUnreachable reports whether this router's last call to the platform failed, less than
// unreachableFor ago.
func (f *Feed) PlatformUnreachable() bool {
	at := f.failedAt.Load()
	return at != 0 && f.now().Sub(boottime.Time(at)) < unreachableFor
}

// recordFailure marks the platform as failing, unless the call failed because this router is
// stopping.
func (f *Feed) recordFailure(ctx context.Context, err error, sentAt boottime.Time) {
	if ctx.Err() != nil {
		return
	}
	f.countFailure(err)
	firstFailure := f.failedAt.Swap(int64(f.now())) == 0
	if firstFailure {
		f.log.Warn().Str("event", "platform").Err(err).Dur("after", f.now().Sub(sentAt)).
			Dur("age", f.Age()).Msg("platform unreachable")
	}
}

// countFailure counts answers that did not arrive whole.
func (f *Feed) countFailure(err error) {
	switch {
	case errors.Is(err, errCallStalled):
		f.stalled.Add(1)
	case errors.Is(err, errCallTooSlow):
		f.tooSlow.Add(1)
	}
}

// recordSuccess marks the platform as reachable. After an outage it starts the window
// in which deletions are treated as lapses.
func (f *Feed) recordSuccess() {
	if f.failedAt.Swap(0) == 0 {
		return
	}
	age := f.Age()
	if age >= minOutage {
		f.mu.Lock()
		f.recoveredAt = f.now()
		f.mu.Unlock()
	}
	f.log.Info().Str("event", "platform").Dur("age", age).Msg("platform reachable again")
}
