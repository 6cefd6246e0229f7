package feed

import (
	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// listing is a listing of the full state in progress.
type listing struct {
	// begunAt is when the first page was requested; the state is as recent as that.
	begunAt boottime.Time
	batch   Batch
	// next continues the listing.
	next string
}

// continuedBy reports whether a page belongs to the listing. The platform may be restored between
// two pages.
func (l *listing) continuedBy(p Page) bool {
	return l.begunAt == 0 || revision.Epoch(l.batch.Revision) == revision.Epoch(p.Revision)
}

// add adds a page that was requested at sentAt.
func (l *listing) add(sentAt boottime.Time, p Page) {
	if l.begunAt == 0 {
		l.begunAt, l.batch.Revision = sentAt, p.Revision
	}
	l.batch.Changes = append(l.batch.Changes, p.Changes...)
	l.next = p.Next
}
