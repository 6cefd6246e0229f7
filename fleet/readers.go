package fleet

import (
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// maxReaders is the number of routers in the fleet that read the platform. Calls to the
// platform are limited; each reader adds some, and each change ends every waiting watch. The
// second reader covers the loss of the first.
//
// The other routers receive the state from the readers: the leader of each failure domain
// from a reader, the rest of the domain from its leader. A state is thus transferred between
// failure domains only once per domain.
const maxReaders = 2

// readerKey is the key by which leaders and readers are chosen.
const readerKey = "reader"

// domainLeader is the router that distributes the published state in a failure domain.
type domainLeader struct {
	// peer is nil for this router.
	peer  *member
	score float64
	// stale is set if its state is too old to be distributed.
	stale bool
}

// preferredTo reports whether a router is preferred to another one as a leader. A router with
// a stale state may be cut off from the platform, and its domain's state would become stale with
// it. If all states are stale, the platform is unavailable and the leaders don't change: if each
// router made itself a reader instead, hundreds would call the platform in vain.
func (l *domainLeader) preferredTo(other *domainLeader) bool {
	if l.stale != other.stale {
		return other.stale
	}
	return l.score > other.score
}

// chooseReaders chooses the routers that read the platform, and polls the router from which
// this one gets the age of its state.
func (n *Node) chooseReaders(now boottime.Time) {
	leaders := n.chooseLeaders(now)
	order := make([]*domainLeader, 0, len(leaders))
	for _, l := range leaders {
		order = append(order, l)
	}
	slices.SortFunc(order, func(a, b *domainLeader) int {
		if a.preferredTo(b) {
			return -1
		}
		return 1
	})
	readers := order[:min(maxReaders, len(order))]
	local := leaders[n.cfg.Domain]
	reads := local.peer == nil && slices.Contains(readers, local)
	if n.readsPlatform.Swap(reads) != reads {
		n.log.Info().Str("event", "reader").Bool("reads", reads).Int("failure_domains", len(leaders)).Msg("platform reader role of this router changed")
	}
	n.domainLeader = local.peer
	n.otherLeaders = n.otherLeaders[:0]
	if local.peer == nil && reads {
		for _, l := range order {
			if l.peer != nil {
				n.otherLeaders = append(n.otherLeaders, l.peer)
			}
		}
	}
	source := local.peer
	if source == nil && !reads {
		source = readers[0].peer
	}
	if source != nil {
		n.pollState(now, source)
	}
}

// pollTimeout is the time after which a router that leaves polls unanswered is no longer used.
// Four heartbeat intervals would be 23 s with 584 routers.
const pollTimeout = time.Second

// pollState asks the router from which this one receives the published state for the state's age.
func (n *Node) pollState(now boottime.Time, source *member) {
	// A router that hears nothing from any peer is cut off itself, whoever its source is.
	cutOff := now.Sub(n.lastPeerContact) >= pollTimeout
	if source.polledInVainSince != 0 && now.Sub(source.polledInVainSince) >= pollTimeout && !cutOff {
		source.unresponsive = true
		n.log.Warn().Str("event", "reader").Uint64("router", source.id).Dur("after", now.Sub(source.polledInVainSince)).
			Msg("source of the published state does not answer")
		return
	}
	if now.Sub(source.polledAt) < n.cfg.StatePollInterval {
		return
	}
	source.polledAt = now
	if source.polledInVainSince == 0 {
		source.polledInVainSince = now
	}
	n.sendHeartbeat(now, source, true)
}

// chooseLeaders chooses the leader of each failure domain by weighted rendezvous hashing. It
// also counts the live routers and updates peakRouters.
func (n *Node) chooseLeaders(now boottime.Time) map[string]*domainLeader {
	local := &domainLeader{score: rendezvousScore(n.self, n.cfg.Weight, readerKey), stale: n.stateStale()}
	if n.leaving || !n.isHub {
		local.score, local.stale = 0, true
	}
	leaders := map[string]*domainLeader{n.cfg.Domain: local}
	live := 1
	for _, m := range n.members {
		if !n.usable(now, m) {
			continue
		}
		live++
		if !m.isHub {
			continue
		}
		candidate := &domainLeader{peer: m, score: m.leaderScore, stale: m.stateAge > n.cfg.MaxLeaderStateAge}
		if l := leaders[m.domain]; l == nil || candidate.preferredTo(l) {
			leaders[m.domain] = candidate
		}
	}
	// peakRouters never decreases: retry.Budget divides the fleet's retry allowance by it, and
	// the part of a router that is missing now is kept for its return.
	n.peakRouters = max(n.peakRouters, live)
	n.sharedPeakRouters.Store(int64(n.peakRouters))
	return leaders
}

// stateStale reports whether this router's state is missing or too old to be distributed.
func (n *Node) stateStale() bool {
	return n.feed != nil && n.feed.Age() > n.cfg.MaxLeaderStateAge
}

// pushState announces a new revision immediately: a reader sends a heartbeat to the leaders, a
// leader to its failure domain. Other routers receive it with the next heartbeat.
func (n *Node) pushState(now boottime.Time) {
	if n.feed == nil {
		return
	}
	s := n.feed.Snapshot()
	if s == nil || s.Revision == n.pushedRevision {
		return
	}
	n.pushedRevision = s.Revision
	if n.domainLeader != nil {
		return
	}
	for _, m := range n.otherLeaders {
		n.sendHeartbeat(now, m, false)
	}
	for _, m := range n.members {
		if m.domain == n.cfg.Domain {
			n.sendHeartbeat(now, m, false)
		}
	}
}

// defaultMaxLeaderStateAge is the default of Config.MaxLeaderStateAge.
const defaultMaxLeaderStateAge = 1500 * time.Millisecond
