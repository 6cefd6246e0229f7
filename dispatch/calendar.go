package dispatch

import "time"

// calendar records how much of a group's time is reserved. Work is in group time: what occupies
// half of the engines for 10 ms takes 5 ms.
//
// Time is divided into slots. A reservation takes room in the slots from its time on. Only a part
// of each slot can be reserved; the rest is left to requests without a reservation.
type calendar struct {
	// slots is a ring: slot n, which begins at n*slotDuration, is at n modulo calendarSlots.
	slots [calendarSlots]calendarSlot
	// first is the number of the oldest slot. Earlier ones have been dropped.
	first int64
	// workBefore[i] is the work in the i oldest slots, unless it is outdated.
	workBefore [calendarSlots + 1]time.Duration
	outdated   bool
}

type calendarSlot struct {
	work   time.Duration
	byTeam []teamWork
	// reservations are those whose time is in the slot, in the order in which they were made.
	reservations []*reservation
}

// teamNumber identifies a team within a calendar. It is compared faster than a name.
type teamNumber uint32

// teamWork is the work that a team has reserved in a slot.
type teamWork struct {
	team teamNumber
	work time.Duration
}

// slotWork is the work that a reservation takes in a slot.
type slotWork struct {
	slot int64
	work time.Duration
}

const (
	// slotDuration is a twelfth of a target of 600 ms, which is short for callers.
	slotDuration = 50 * time.Millisecond
	// calendarHorizon is how far ahead room is reserved. Callers return within a third of the
	// longest deadline, which is 15 s.
	calendarHorizon = 5 * time.Second
	// overhangSlots are the slots beyond the horizon that the work of a reservation may take.
	overhangSlots = 28
	calendarSlots = int64(calendarHorizon/slotDuration) + overhangSlots
)

func slotAt(t time.Duration) int64 { return int64(t / slotDuration) }

func slotStart(n int64) time.Duration { return time.Duration(n) * slotDuration }

func (c *calendar) slot(n int64) *calendarSlot { return &c.slots[n%calendarSlots] }

// contains reports whether a slot is within the ring.
func (c *calendar) contains(n int64) bool { return n >= c.first && n < c.first+calendarSlots }

// dropBefore drops the slots before slot n and calls dropped for the reservations in them.
func (c *calendar) dropBefore(n int64, dropped func(*reservation)) {
	for last := c.first + calendarSlots; c.first < min(n, last); c.first++ {
		s := c.slot(c.first)
		if len(s.reservations) == 0 && s.work == 0 {
			continue
		}
		for _, r := range s.reservations {
			dropped(r)
		}
		clear(s.reservations)
		*s = calendarSlot{byTeam: s.byTeam[:0], reservations: s.reservations[:0]}
		c.outdated = true
	}
	c.first = max(c.first, n)
}

// find returns the first slot from earliest to latest from which on a team can reserve work, and
// false if there is none. room is the room of an empty slot. All of the work must fit into few
// slots, and some of it into the first.
func (c *calendar) find(team teamNumber, work, room time.Duration, earliest, latest int64) (slot int64, ok bool) {
	if room <= 0 {
		return 0, false
	}
	earliest, latest = max(earliest, c.first), min(latest, c.first+calendarSlots-1)
	width := slotsFor(work, room)
	var rooms [calendarSlots]time.Duration
	// total is the room in the slots from n to end-1.
	total, end := time.Duration(0), earliest
	for n := earliest; n <= latest; n++ {
		for ; end < min(n+width, c.first+calendarSlots); end++ {
			rooms[end-c.first] = c.slot(end).teamRoom(team, room)
			total += rooms[end-c.first]
		}
		first := rooms[n-c.first]
		if first > 0 && total >= work {
			return n, true
		}
		total -= first
	}
	return 0, false
}

// take returns the work in each slot, appended to buffer, if work is reserved from slot n on.
func (c *calendar) take(team teamNumber, work, room time.Duration, n int64, buffer []slotWork) (taken []slotWork, ok bool) {
	for last := n + slotsFor(work, room); n < last && c.contains(n); n++ {
		part := min(work, c.slot(n).teamRoom(team, room))
		if part > 0 {
			buffer = append(buffer, slotWork{slot: n, work: part})
			work -= part
		}
		if work == 0 {
			return buffer, true
		}
	}
	return nil, false
}

// slotsFor returns the number of slots that work may take: twice as many as if they were empty.
func slotsFor(work, room time.Duration) int64 { return 2 * int64(teamParts*work/room+1) }

// teamParts is the number of parts of a slot's room of which one team gets one at most.
const teamParts = 2

// teamRoom returns the room that a team can still reserve in a slot. A team may reserve at most
// as much as it leaves free (a dynamic threshold, as for queues that share a buffer): alone half
// of the room, beside n others that do the same a part in n+2. So there is room for one team more.
// What a team reserved beyond its part, while there was more room, takes nothing from others.
func (s *calendarSlot) teamRoom(team teamNumber, room time.Duration) time.Duration {
	free, held := room, time.Duration(0)
	for i := range s.byTeam {
		free -= min(s.byTeam[i].work, room/teamParts)
		if s.byTeam[i].team == team {
			held = s.byTeam[i].work
		}
	}
	return max(min(free, maxSlotRoom-s.work)-held, 0) / teamParts
}

// add adds the work of a reservation to its slots.
func (c *calendar) add(r *reservation) {
	for _, w := range r.taken {
		c.slot(w.slot).add(r.team, w.work)
	}
	c.outdated = true
}

// remove removes the work of a reservation from its slots.
func (c *calendar) remove(r *reservation) {
	for _, w := range r.taken {
		if c.contains(w.slot) {
			c.slot(w.slot).add(r.team, -w.work)
		}
	}
	c.outdated = true
}

func (s *calendarSlot) add(team teamNumber, work time.Duration) {
	s.work += work
	for i := range s.byTeam {
		if s.byTeam[i].team == team {
			s.byTeam[i].work += work
			return
		}
	}
	s.byTeam = append(s.byTeam, teamWork{team: team, work: work})
}

// clearWork removes all work and keeps the reservations.
func (c *calendar) clearWork() {
	for i := range c.slots {
		c.slots[i].work, c.slots[i].byTeam = 0, c.slots[i].byTeam[:0]
	}
	c.outdated = true
}

// workUntil returns the reserved work from the oldest slot to a time.
func (c *calendar) workUntil(t time.Duration) time.Duration {
	if c.outdated {
		c.outdated = false
		for i := range calendarSlots {
			c.workBefore[i+1] = c.workBefore[i] + c.slot(c.first+i).work
		}
	}
	return c.workBefore[min(max(slotAt(t)+1-c.first, 0), calendarSlots)]
}
