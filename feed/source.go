package feed

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Error is the class of this package's errors.
var Error = errs.Class("feed")

// ErrHistoryGone is returned by a watch from a revision whose history the platform no
// longer keeps.
var ErrHistoryGone = errs.New("feed: history after this revision is no longer available")

// ErrAnswerTooLarge is returned by a watch whose answer exceeds the source's limit. The answer to the
// same watch only grows.
var ErrAnswerTooLarge = errs.New("feed: the answer to the watch is too large")

// Source reads what operators and upstreams publish. All reads are linearizable. A source calls
// ReportProgress as an answer arrives; a call that reports none ends like one without an answer.
type Source interface {
	// List reads a page of the full state: the first one if after is empty, else the one that
	// follows the page whose Next is given. The state is complete as of the revision of the
	// first page. Later changes may or may not be included.
	List(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision, waiting for them for at most wait. It returns
	// ErrHistoryGone if the platform was restored since, and ErrAnswerTooLarge if there are too many
	// to be read at once.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Batch is the result of a read.
type Batch struct {
	Changes []Change
	// Revision is the platform's revision up to which the changes are complete, see package
	// revision.
	Revision int64
}

// Page is a part of the full state.
type Page struct {
	Batch
	// Next continues the listing after this page. It is empty for the last page.
	Next string
}

// Change is one published entry. Exactly one of the pointers and DeletedUpstream is
// set.
type Change struct {
	Revision int64
	Config   *routing.Config
	Upstream *registry.Upstream
	// DeletedUpstream is the ID of an upstream whose entry was deleted.
	DeletedUpstream string
	// Evacuation begins or ends the evacuation of a failure domain.
	Evacuation *Evacuation
}

// Evacuation is an operator's order to send no requests to the upstreams of a failure
// domain.
type Evacuation struct {
	Domain string
	// Ended is true if the order was withdrawn.
	Ended bool
}
