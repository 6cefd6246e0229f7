package fleet

import (
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// maxReaders is how many routers of the whole fleet read the platform. Each call
// counts, and a change ends every waiting watch; the second reader bridges the
// loss of the first. The others learn from them: one lead in a failure domain
// from a reader, the rest of the domain from its lead, so that a state crosses
// between domains once for each.
const maxReaders = 2

// readerKey is hashed with a router to choose leads.
const readerKey = "reader"

// lead is the router that passes the published state on in a failure domain.
type lead struct {
	// peer is nil for this router.
	peer  *member
	score float64
	// old is set if its view is too old to pass on.
	old bool
}

// before reports whether a router goes before another as a lead: one whose view is old may
// be cut off from the platform, and its domain would grow stale with it. Where all views
// are old the platform is away, and the duty stays where it is: if each router took itself
// for the only one left to read, hundreds would ask the platform in vain.
func (l *lead) before(other *lead) bool {
	if l.old != other.old {
		return other.old
	}
	return l.score > other.score
}

// chooseReaders finds who reads the platform and whom this router asks how fresh
// its state is.
func (n *Node) chooseReaders(now boottime.Time) {
	leads := n.leads(now)
	order := make([]*lead, 0, len(leads))
	for _, l := range leads {
		order = append(order, l)
	}
	slices.SortFunc(order, func(a, b *lead) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	readers := order[:min(maxReaders, len(order))]
	own := leads[n.cfg.Domain]
	reads := own.peer == nil && slices.Contains(readers, own)
	if n.reads.Swap(reads) != reads {
		n.log.Info().Str("event", "reader").Bool("reads", reads).Int("failure_domains", len(leads)).Msg("duty of reading the platform")
	}
	n.leadOf = own.peer
	n.told = n.told[:0]
	if own.peer == nil && reads {
		for _, l := range order {
			if l.peer != nil {
				n.told = append(n.told, l.peer)
			}
		}
	}
	ask := own.peer
	if ask == nil && !reads {
		ask = readers[0].peer
	}
	if ask != nil && now.Sub(ask.pingAt) >= n.cfg.StatePollInterval {
		ask.pingAt = now
		n.beatTo(now, ask, true)
	}
}

// leads picks the lead of each failure domain by weighted rendezvous, and counts
// the routers.
func (n *Node) leads(now boottime.Time) map[string]*lead {
	own := &lead{score: preference(n.self, n.cfg.Weight, readerKey), old: n.stateOld()}
	if n.leaving || !n.hub {
		own.score, own.old = 0, true
	}
	leads := map[string]*lead{n.cfg.Domain: own}
	live := 1
	for _, m := range n.members {
		if !n.usable(now, m) {
			continue
		}
		live++
		if !m.hub {
			continue
		}
		candidate := &lead{peer: m, score: m.readerScore, old: m.stateAge > n.cfg.MaxLeaderStateAge}
		if l := leads[m.domain]; l == nil || candidate.before(l) {
			leads[m.domain] = candidate
		}
	}
	// A share of the fleet's allowance stays with routers that may come back.
	n.most = max(n.most, live)
	n.routers.Store(int64(n.most))
	return leads
}

func (n *Node) stateOld() bool {
	return n.feed != nil && n.feed.Snapshot() != nil && n.feed.Age() > n.cfg.MaxLeaderStateAge
}

// pushState tells a change at once: a reader tells the leads, a lead tells its
// failure domain. The others hear of it with the next heartbeat.
func (n *Node) pushState(now boottime.Time) {
	if n.feed == nil {
		return
	}
	s := n.feed.Snapshot()
	if s == nil || s.Revision == n.pushed {
		return
	}
	n.pushed = s.Revision
	if n.leadOf != nil {
		return
	}
	for _, m := range n.told {
		n.beatTo(now, m, false)
	}
	for _, m := range n.members {
		if m.domain == n.cfg.Domain {
			n.beatTo(now, m, false)
		}
	}
}

// leadAge is the default of Config.LeadAge.
const leadAge = 1500 * time.Millisecond
