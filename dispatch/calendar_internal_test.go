package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against room that is reserved twice, teams that hold more than their part and work that
// is not freed: over drawn reservations, releases and time.
func TestCalendarKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var c calendar
		var held []*reservation
		now := time.Duration(rapid.Int64Range(0, 1e10).Draw(rt, "now"))
		c.first = slotAt(now)
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond
			c.dropBefore(slotAt(now), func(*reservation) {})
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(rt, "release") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(rt, "which")
				c.remove(held[i])
				held = append(held[:i], held[i+1:]...)
				continue
			}
			r := &reservation{team: teamNumber(rapid.IntRange(0, 4).Draw(rt, "team")), work: time.Duration(rapid.Int64Range(1, int64(100*time.Millisecond)).Draw(rt, "work"))}
			room := time.Duration(rapid.Int64Range(0, int64(maxSlotRoom)).Draw(rt, "room"))
			earliest := now + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(rt, "earliest"))
			latest := earliest + time.Duration(rapid.Int64Range(0, int64(calendarHorizon-2*time.Second)).Draw(rt, "span"))
			slot, ok := c.find(r.team, r.work, room, slotAt(earliest), slotAt(latest))
			if !ok {
				continue
			}
			taken, ok := c.take(r.team, r.work, room, slot, nil)
			if !ok {
				rt.Fatalf("no room from slot %d on, which was found", slot)
			}
			if slot < slotAt(earliest) || slot > slotAt(latest) || taken[0].slot != slot {
				rt.Fatalf("reserved slot %d from %d to %d", slot, slotAt(earliest), slotAt(latest))
			}
			r.taken = taken
			c.add(r)
			held = append(held, r)
			total := time.Duration(0)
			for _, w := range taken {
				total += w.work
				s := c.slot(w.slot)
				for _, x := range s.byTeam {
					if x.team == r.team && x.work > room/teamParts {
						rt.Fatalf("slot %d: a team has %v of %v", w.slot, x.work, room)
					}
				}
			}
			if total != r.work {
				rt.Fatalf("%v reserved for work of %v", total, r.work)
			}
		}
		expected := map[int64]time.Duration{}
		for _, r := range held {
			for _, w := range r.taken {
				if c.contains(w.slot) {
					expected[w.slot] += w.work
				}
			}
		}
		sum := time.Duration(0)
		for n := c.first; n < c.first+calendarSlots; n++ {
			sum += expected[n]
			if got := c.slot(n).work; got != expected[n] || got > maxSlotRoom {
				rt.Fatalf("slot %d has %v, expected %v", n, got, expected[n])
			}
			if got := c.workUntil(slotStart(n)); got != sum {
				rt.Fatalf("%v until slot %d, expected %v", got, n, sum)
			}
		}
	})
}
