package router

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/idempotency"
)

// vmList is the platform's list of VMs, from which the voters on keys are chosen.
type vmList struct {
	names []string
	// digest is a hash of the names.
	digest uint64
	// changedAt and readAt are the times of the last change and of the last read.
	changedAt, readAt time.Time
}

// update returns the list that follows l after a read of the given names. l may be
// nil.
func (l *vmList) update(now time.Time, names []string) *vmList {
	next := &vmList{names: names, readAt: now, changedAt: now}
	next.digest = xxhash.Sum64String(strings.Join(names, "\x00"))
	if l != nil && slices.Equal(l.names, names) {
		next.changedAt = l.changedAt
	}
	return next
}

// tolerance returns the number of VMs by which other routers' lists may differ
// from this one. Every router's list lags the platform by at most lag. All routers
// therefore have the same list if it was read recently and has not changed for
// twice the lag; otherwise a router may still have the previous list or already
// have the next one.
func (l *vmList) tolerance(now time.Time, lag time.Duration) int {
	if now.Sub(l.readAt) <= lag/2 && now.Sub(l.changedAt) >= 2*lag {
		return 0
	}
	return idempotency.ListTolerance
}
