package feed_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
)

// pagedSource lists one upstream a page, slowly, and fails some pages.
type pagedSource struct {
	pages     int
	pageTime  time.Duration
	failEvery int
	calls     int
}

func (s *pagedSource) List(ctx context.Context, after string) (feed.Page, error) {
	s.calls++
	if err := sleep(ctx, s.pageTime); err != nil {
		return feed.Page{}, err
	}
	if s.failEvery > 0 && s.calls%s.failEvery == 0 {
		return feed.Page{}, context.DeadlineExceeded
	}
	i, _ := strconv.Atoi(after)
	page := feed.Page{Batch: feed.Batch{Revision: int64(10 + i), Changes: []feed.Change{upstreamChange("i-"+strconv.Itoa(i), 5)}}}
	if i == 0 {
		page.Changes = append(page.Changes, configChange(3))
	}
	if i+1 < s.pages {
		page.Next = strconv.Itoa(i + 1)
	}
	return page, nil
}

func (s *pagedSource) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	return watchUnchanged(ctx, after, wait)
}

// Guards against routers that never get a state after a restart of the whole fleet: the pages
// of a long list together take longer than one call may, and some calls fail.
func TestLongListEndsAtASlowRouter(t *testing.T) {
	for name, source := range map[string]*pagedSource{
		"slow pages":   {pages: 30, pageTime: 200 * time.Millisecond},
		"failed pages": {pages: 30, pageTime: 20 * time.Millisecond, failEvery: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				begun := time.Now()
				f := start(t, source)
				for f.Snapshot() == nil && time.Since(begun) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				g.Expect(f.Snapshot()).NotTo(BeNil())
				g.Expect(f.Snapshot().View.All()).To(HaveLen(30))
				g.Expect(time.Since(begun)).To(BeNumerically("<", 7*time.Second))
				g.Expect(f.Snapshot().Revision).To(Equal(int64(10)), "complete as of the first page only")
			})
		})
	}
}
