// Package revision orders the states of a platform that may be restored from an older copy.
//
// The platform counts its changes. After a restore it continues from the copy's counter, and numbers are
// given out again; it then counts one more epoch. A state is newer than another one if its epoch is
// higher, or its counter within the same epoch. Both are kept in one integer, so that revisions are
// compared like numbers.
package revision

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("revision")

const (
	// counterBits is the number of bits of the platform's counter: a thousand changes a second for
	// 34 years. The bits above it hold the epoch.
	counterBits = 40
	maxCounter  = 1<<counterBits - 1
	maxEpoch    = 1<<(62-counterBits) - 1
)

// New returns the revision of a platform's counter in an epoch. It returns an error if one of them is
// out of range.
func New(epoch, counter int64) (int64, error) {
	if epoch < 0 || epoch > maxEpoch {
		return 0, Error.New("epoch %d is out of range", epoch)
	}
	if counter < 0 || counter > maxCounter {
		return 0, Error.New("counter %d is out of range", counter)
	}
	return epoch<<counterBits | counter, nil
}

// Epoch returns how often the platform had been restored.
func Epoch(revision int64) int64 { return revision >> counterBits }

// Counter returns the platform's own counter.
func Counter(revision int64) int64 { return revision & maxCounter }
