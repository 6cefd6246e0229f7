package membership

import (
	"maps"
	"slices"
	"time"
)

// View is one router's view of the fleet's membership. It is not safe for concurrent
// use.
type View struct {
	self string
	// suspectAfter is the time without messages after which a VM no longer counts as
	// live.
	suspectAfter time.Duration
	members      map[string]*member
	leaving      bool
}

// NewView returns a view whose only member is the router itself.
func NewView(self string, suspectAfter time.Duration) *View {
	return &View{self: self, suspectAfter: suspectAfter, members: map[string]*member{}}
}

// SetList applies the platform's list. VMs that are not listed are removed if no
// message was ever received from them; others are kept, since the list lags.
func (v *View) SetList(list []ListedVM) {
	for _, m := range v.members {
		m.listed = false
	}
	for _, l := range list {
		if l.Name == v.self {
			continue
		}
		m := v.member(l.Name)
		m.listed = true
		m.leaving = l.Leaving
	}
	maps.DeleteFunc(v.members, func(_ string, m *member) bool {
		return !m.listed && m.lastMessageAt.IsZero()
	})
}

func (v *View) member(name string) *member {
	m, ok := v.members[name]
	if !ok {
		m = &member{}
		v.members[name] = m
	}
	return m
}

// RecordMessage records a message from a VM. It returns true if the VM's incarnation
// changed: all commitments of the previous incarnation are then void.
func (v *View) RecordMessage(now time.Time, name string, incarnation uint64, leaving bool) bool {
	m := v.member(name)
	changed := m.incarnation != incarnation
	if changed {
		m.announcedLeave = false
	}
	m.incarnation = incarnation
	m.lastMessageAt = now
	m.announcedLeave = m.announcedLeave || leaving
	return changed
}

// Leave marks this router as shutting down: it is no longer the home of any key.
func (v *View) Leave() { v.leaving = true }

// Incarnation returns the last recorded incarnation of a VM, or 0 if it never sent a
// message.
func (v *View) Incarnation(name string) uint64 {
	if m, ok := v.members[name]; ok {
		return m.incarnation
	}
	return 0
}

// Live returns the VMs that may be homes, sorted. It includes this one unless it is
// leaving.
func (v *View) Live(now time.Time) []string {
	var live []string
	if !v.leaving {
		live = append(live, v.self)
	}
	for name, m := range v.members {
		if v.isReachable(now, m) && !m.announcedLeave && !m.leaving {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

func (v *View) isReachable(now time.Time, m *member) bool {
	return !m.lastMessageAt.IsZero() && now.Sub(m.lastMessageAt) <= v.suspectAfter
}

// Reachable reports whether the VM sent a message within suspectAfter, whether or not
// it is leaving.
func (v *View) Reachable(now time.Time, name string) bool {
	m, ok := v.members[name]
	return ok && v.isReachable(now, m)
}

// Peers returns every other VM that is listed or reachable, sorted.
func (v *View) Peers(now time.Time) []string {
	var peers []string
	for name, m := range v.members {
		if m.listed || v.isReachable(now, m) {
			peers = append(peers, name)
		}
	}
	slices.Sort(peers)
	return peers
}

// CountListed returns how many of the listed VMs are reachable, and how many are
// listed; both include this one and exclude leaving VMs. The counts differ during a
// partition and, until the list catches up, after a crash.
func (v *View) CountListed(now time.Time) (reachable, listed int) {
	reachable, listed = 1, 1
	for _, m := range v.members {
		if !m.listed || m.leaving || m.announcedLeave {
			continue
		}
		listed++
		if v.isReachable(now, m) {
			reachable++
		}
	}
	return reachable, listed
}
