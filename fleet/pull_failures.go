package fleet

import (
	"errors"
	"sync/atomic"
)

// pullFailures counts the transfers of a peer's state that failed, by reason. It is safe for concurrent
// use.
type pullFailures struct{ stalled, tooSlow, tooLarge, other atomic.Int64 }

// PullFailures are the numbers of transfers of a peer's state that failed.
type PullFailures struct {
	// Stalled brought no byte for a while, TooSlow did not end in the time for the largest state, and
	// TooLarge exceeded the limit of a state.
	Stalled  int64 `json:"stalled,omitempty"`
	TooSlow  int64 `json:"tooSlow,omitempty"`
	TooLarge int64 `json:"tooLarge,omitempty"`
	// Other are those that the peer refused, or whose connection was refused or ended.
	Other int64 `json:"other,omitempty"`
}

func (f *pullFailures) count(err error) {
	var transfer *TransferError
	var tooLarge *MessageTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		f.tooLarge.Add(1)
	case errors.As(err, &transfer) && transfer.Reason == TransferTooSlow:
		f.tooSlow.Add(1)
	case errors.As(err, &transfer):
		f.stalled.Add(1)
	default:
		f.other.Add(1)
	}
}

// Dump returns the counts.
func (f *pullFailures) Dump() PullFailures {
	return PullFailures{Stalled: f.stalled.Load(), TooSlow: f.tooSlow.Load(), TooLarge: f.tooLarge.Load(), Other: f.other.Load()}
}
