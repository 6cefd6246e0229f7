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

// ErrHistoryGone is a watch from a revision that the platform no longer has.
var ErrHistoryGone = errs.New("feed: the history after this revision is gone")

// Source reads what operators and upstreams publish. All reads are linearizable.
type Source interface {
	// List reads everything. Changes made while it runs have a revision above
	// the batch's and may or may not be in it.
	List(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision, for wait at most.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Batch is what a read returned.
type Batch struct {
	Changes []Change
	// Revision is the platform's up to which the changes are complete.
	Revision int64
}

// Change is one entry as it was published. Exactly one of the pointers and
// Gone is set.
type Change struct {
	Revision int64
	Config   *routing.Config
	Upstream *registry.Upstream
	// DeletedUpstream is the ID of an upstream whose entry was deleted.
	DeletedUpstream string
	// Evacuation begins or ends the evacuation of a failure domain.
	Evacuation *Evacuation
}

// Evacuation is an operator's order to send nothing to the upstreams of a failure domain.
type Evacuation struct {
	Domain string
	// Ended is set if the order was withdrawn.
	Ended bool
}
