package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// elsewhere has what other groups of the service could serve, as their homes have reported it.
type elsewhere struct {
	// groups are sorted by index.
	groups []groupSpare
	// soughtAt is when a request last needed another group, 0 if none did.
	soughtAt time.Duration
}

// groupSpare is the report of another group.
type groupSpare struct {
	group      int
	spare      Spare
	reportedAt time.Duration
	// taken is the work that was handed over since the report.
	taken time.Duration
}

const (
	// maxSpareAge is the age at which a report is worth nothing. An engine accepts work for
	// BacklogWindow, so within a few of them other homes and the group's own requests may have used
	// the room.
	maxSpareAge = 300 * time.Millisecond
	// maxReportedGroups bounds the reports that are kept.
	maxReportedGroups = 64
	// withinShareReserve is the part of a report that only teams within their share may use.
	withinShareReserve = 0.5
)

// report replaces the report of a group.
func (e *elsewhere) report(now time.Duration, group int, s Spare) {
	for i := range e.groups {
		if e.groups[i].group == group {
			e.groups[i] = groupSpare{group: group, spare: s, reportedAt: now}
			return
		}
	}
	if len(e.groups) >= maxReportedGroups {
		e.groups = e.groups[:0]
	}
	e.groups = append(e.groups, groupSpare{group: group, spare: s, reportedAt: now})
}

// left returns the work that may still be handed over to a group. Its report loses value with its age.
func (g *groupSpare) left(now time.Duration, overShare bool) time.Duration {
	age := now - g.reportedAt
	if age < 0 || age >= maxSpareAge {
		return 0
	}
	work := float64(g.spare.Work) * (1 - float64(age)/float64(maxSpareAge))
	if overShare {
		work -= withinShareReserve * float64(g.spare.Work)
	}
	return time.Duration(work) - g.taken
}

// choose returns the group that a request of the given cost is handed over to, and counts the cost
// there. Of the groups with enough room it is the one with the highest hash for the session, so that
// a session's requests meet their cached parts and the requests of different sessions different groups.
func (e *elsewhere) choose(now time.Duration, session uint64, cost time.Duration, overShare bool) (group int, ok bool) {
	var best *groupSpare
	var highest uint64
	for i := range e.groups {
		g := &e.groups[i]
		if g.left(now, overShare) < cost {
			continue
		}
		hash := xxhash.Sum64String(strconv.FormatUint(session, 16) + "/" + strconv.Itoa(g.group))
		if best == nil || hash > highest {
			best, highest = g, hash
		}
	}
	if best == nil {
		return 0, false
	}
	best.taken += cost
	return best.group, true
}

// SetSpare records what another group of the service could serve.
func (c *Core) SetSpare(now time.Duration, group int, s Spare) {
	if c.cfg.Handover {
		c.elsewhere.report(now, group, s)
	}
}
