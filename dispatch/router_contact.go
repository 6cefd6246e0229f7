package dispatch

import "time"

// routerContact has when each router last submitted a request or reported on one. The reports of a
// router that was lost don't come; without this an engine looks as if it didn't answer until the router
// counts as silent, seconds later, and gets nothing meanwhile.
type routerContact map[uint64]time.Duration

// maxRouterContacts bounds the memory. The routers are recorded again with their next messages.
const maxRouterContacts = 4096

func (r *routerContact) record(now time.Duration, router uint64) {
	if *r == nil || len(*r) >= maxRouterContacts {
		*r = routerContact{}
	}
	(*r)[router] = now
}

// since reports whether anything was received from a router after a time.
func (r routerContact) since(at time.Duration, router uint64) bool { return r[router] > at }

// finishUnreported removes jobs from the backlog of an upstream whose first byte is overdue and whose
// routers have sent nothing since it was due. If their routers have, the upstream is what is late.
func (c *Core) finishUnreported(now time.Duration, u *upstream) {
	if !c.cfg.Engine {
		c.freeUnreported(now, u)
		return
	}
	for len(u.prefills.jobs) > 0 {
		oldest := u.prefills.jobs[0]
		if now <= oldest.prefillDeadline || c.contacts.since(oldest.firstByteDueAt, oldest.Ticket.Router) {
			return
		}
		u.finishPrefill(oldest, now, false)
	}
}

// freeUnreported frees the slots of such jobs at a plain service.
func (c *Core) freeUnreported(now time.Duration, u *upstream) {
	limit := hungServiceTimes * time.Duration(u.serviceMs.mean(defaultServiceMs)*float64(time.Millisecond))
	for _, j := range u.prefills.jobs {
		if !j.slotFreed && now-j.sentAt > limit && !c.contacts.since(j.sentAt+limit/2, j.Ticket.Router) {
			j.slotFreed = true
			u.setRunning(now, u.running-1)
		}
	}
}
