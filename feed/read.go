package feed

import (
	"context"
	"errors"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// read makes one call and reports whether it succeeded.
func (f *Feed) read(ctx context.Context) bool {
	f.mu.Lock()
	after := f.revision
	failing := f.failing
	lapsed := len(f.upstream.Lapsed())
	f.mu.Unlock()
	if after == 0 {
		return f.list(ctx)
	}
	wait := f.cfg.WatchWait
	// After a failure the state may be old: ask for what there is, at once.
	if failing {
		wait = time.Millisecond
	}
	if lapsed > 0 {
		wait = min(wait, 200*time.Millisecond)
	}
	return f.watch(ctx, after, wait)
}

func (f *Feed) watch(ctx context.Context, after int64, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.CallMargin)
	defer cancel()
	f.calls.Add(1)
	sent := f.now()
	b, err := f.source.Watch(ctx, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Warn().Str("event", "platform").Int64("after", after).Msg("history is gone, listing again")
		return f.list(ctx)
	}
	if err != nil {
		f.failed(err, sent)
		return false
	}
	f.succeeded()
	f.apply(b, sent)
	return true
}

// list reads everything. What it lacks has gone, or has lapsed in an outage.
func (f *Feed) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.WatchWait+f.cfg.CallMargin)
	defer cancel()
	f.calls.Add(1)
	sent := f.now()
	b, err := f.source.List(ctx)
	if err != nil {
		f.failed(err, sent)
		return false
	}
	f.succeeded()
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
	f.upstream.ReplaceEvacuations(sent, evacuated, b.Revision)
	for _, id := range f.upstream.Missing(listed) {
		f.remove(Change{DeletedUpstream: id, Revision: b.Revision})
	}
	// What went missing before the listing has no revision that tells of it.
	f.changes.reset(b.Revision)
	f.mu.Unlock()
	f.apply(b, sent)
	return true
}

// failed notes that the platform didn't answer.
func (f *Feed) failed(err error, sent boottime.Time) {
	f.mu.Lock()
	first := !f.failing
	f.failing = true
	f.mu.Unlock()
	if first {
		f.log.Warn().Str("event", "platform").Err(err).Dur("after", f.now().Sub(sent)).
			Dur("age", f.Age()).Msg("platform lost")
	}
}

// succeeded notes that the platform answers.
func (f *Feed) succeeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		return
	}
	f.failing = false
	age := f.Age()
	if age >= outage {
		f.regained = f.now()
	}
	f.log.Info().Str("event", "platform").Dur("age", age).Msg("platform regained")
}
