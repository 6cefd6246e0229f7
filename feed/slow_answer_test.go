package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
)

// arriving returns the batch after the given time, in which an answer arrives piece by piece.
func arriving(ctx context.Context, took time.Duration, b feed.Batch) (feed.Batch, error) {
	const piece = 100 * time.Millisecond
	for range took / piece {
		if err := sleep(ctx, piece); err != nil {
			return feed.Batch{}, err
		}
		feed.ReportProgress(ctx)
	}
	return b, nil
}

// Guards against changes that take long to arrive and that are asked for again from their start, each time
// in vain.
func TestLongAnswerIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var watches, lists atomic.Int64
		f := start(t, &fakeSource{
			list: func(context.Context) (feed.Batch, error) {
				lists.Add(1)
				return feed.Batch{Changes: []feed.Change{configChange(3)}, Revision: 3}, nil
			},
			watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
				if after >= 9 {
					return watchUnchanged(ctx, after, wait)
				}
				watches.Add(1)
				return arriving(ctx, 3*time.Second, feed.Batch{Changes: []feed.Change{configChange(9)}, Revision: 9})
			},
		})
		time.Sleep(4 * time.Second)
		g.Expect(f.StateVersion().ConfigVersion).To(Equal(int64(9)))
		g.Expect(watches.Load()).To(Equal(int64(1)))
		g.Expect(lists.Load()).To(Equal(int64(1)))
		g.Expect(f.Fresh()).To(BeTrue())
		g.Expect(f.Stalled() + f.TooSlow()).To(BeZero())
	})
}

// Guards against a watch that breaks off each time and is repeated, although the pages of a listing arrive.
func TestWatchThatBreaksOffIsReplacedByAListing(t *testing.T) {
	for name, c := range map[string]struct {
		watch            func(ctx context.Context) (feed.Batch, error)
		within           time.Duration
		stalled, tooSlow int64
	}{
		"stalls": {
			watch: func(ctx context.Context) (feed.Batch, error) {
				feed.ReportProgress(ctx)
				return watchUnanswered(ctx, 0, 0)
			},
			within: time.Second, stalled: 1,
		},
		"a byte at a time": {
			watch:  func(ctx context.Context) (feed.Batch, error) { return arriving(ctx, time.Hour, feed.Batch{}) },
			within: revoke, tooSlow: 1,
		},
		"ends": {
			watch: func(ctx context.Context) (feed.Batch, error) {
				feed.ReportProgress(ctx)
				return feed.Batch{}, context.Canceled
			},
			within: 100 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var broken, lists atomic.Int64
				f := start(t, &fakeSource{
					list: func(context.Context) (feed.Batch, error) {
						if lists.Add(1) == 1 {
							return feed.Batch{Changes: []feed.Change{configChange(3)}, Revision: 3}, nil
						}
						return feed.Batch{Changes: []feed.Change{configChange(9)}, Revision: 9}, nil
					},
					watch: func(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
						if after >= 9 {
							return watchUnchanged(ctx, after, wait)
						}
						broken.Add(1)
						return c.watch(ctx)
					},
				})
				started := time.Now()
				g.Eventually(func() int64 { return f.StateVersion().ConfigVersion }, 10*time.Second, 10*time.Millisecond).Should(Equal(int64(9)))
				g.Expect(time.Since(started)).To(BeNumerically("<", c.within+200*time.Millisecond))
				g.Expect(broken.Load()).To(Equal(int64(1)))
				g.Expect(f.Stalled()).To(Equal(c.stalled))
				g.Expect(f.TooSlow()).To(Equal(c.tooSlow))
			})
		})
	}
}
