package fleet

import (
	"maps"
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

// leaderCandidate is a router that may distribute the published state in its failure domain.
type leaderCandidate struct {
	// peer is nil for this router.
	peer   *member
	domain string
	score  float64
	// stale is set if its state is too old to be distributed.
	stale bool
	// unreachable is set if its last call to the platform failed.
	unreachable bool
}

// preferredTo reports whether a router is preferred to another one as a leader. A router with
// a stale state may be cut off from the platform, and its domain's state would become stale with
// it. If all states are stale, the platform is unavailable and the leaders don't change: if each
// router made itself a reader instead, hundreds would call the platform in vain.
//
// The age of a router's state doesn't show whether it reaches the platform, since peers renew it.
// A reader whose calls fail would keep its role until all states are stale, give it up, receive a
// recent state from its successor, and take the role back.
func (c *leaderCandidate) preferredTo(other *leaderCandidate) bool {
	if c.stale != other.stale {
		return other.stale
	}
	if c.unreachable != other.unreachable {
		return other.unreachable
	}
	return c.score > other.score
}

// leadersInOrder returns the leader of each failure domain, the most preferred one first. The
// first maxReaders of them read the platform.
func leadersInOrder(candidates []leaderCandidate) []leaderCandidate {
	byDomain := map[string]leaderCandidate{}
	for _, c := range candidates {
		if l, found := byDomain[c.domain]; !found || c.preferredTo(&l) {
			byDomain[c.domain] = c
		}
	}
	return slices.SortedFunc(maps.Values(byDomain), func(a, b leaderCandidate) int {
		if a.preferredTo(&b) {
			return -1
		}
		return 1
	})
}

// readsAmong reports whether this router is one of the readers, given the leaders in order.
func readsAmong(leaders []leaderCandidate) bool {
	return slices.ContainsFunc(leaders[:min(maxReaders, len(leaders))], func(l leaderCandidate) bool { return l.peer == nil })
}

// withoutReachability returns the candidates as if the platform answered all of them.
func withoutReachability(candidates []leaderCandidate) []leaderCandidate {
	candidates = slices.Clone(candidates)
	for i := range candidates {
		candidates[i].unreachable = false
	}
	return candidates
}

// chooseReaders chooses the routers that read the platform, and polls the router from which
// this one gets the age of its state.
func (n *Node) chooseReaders(now boottime.Time) {
	candidates := n.leaderCandidates(now)
	leaders := leadersInOrder(candidates)
	isReader := readsAmong(leaders)
	// A router that would be a reader if the platform answered it continues to read, to detect when
	// it does.
	reads := isReader || readsAmong(leadersInOrder(withoutReachability(candidates)))
	if n.readsPlatform.Swap(reads) != reads {
		n.log.Info().Str("event", "reader").Bool("reads", reads).Bool("platform_unreachable", n.platformUnreachable()).
			Int("failure_domains", len(leaders)).Msg("platform reader role of this router changed")
	}
	i := slices.IndexFunc(leaders, func(l leaderCandidate) bool { return l.domain == n.cfg.Domain })
	n.domainLeader = leaders[i].peer
	n.otherLeaders = n.otherLeaders[:0]
	if n.domainLeader == nil && reads {
		for _, l := range leaders {
			if l.peer != nil {
				n.otherLeaders = append(n.otherLeaders, l.peer)
			}
		}
	}
	source := n.domainLeader
	if source == nil && !isReader {
		source = leaders[0].peer
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
	// A router that receives nothing from any peer is cut off itself, whoever its source is.
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

// leaderCandidates returns the routers that may lead their failure domains, scored by weighted
// rendezvous hashing. This router is always among them, as the last choice if it is no hub or is
// leaving. leaderCandidates also counts the live routers and updates peakRouters.
func (n *Node) leaderCandidates(now boottime.Time) []leaderCandidate {
	local := leaderCandidate{
		domain: n.cfg.Domain, score: rendezvousScore(n.self, n.cfg.Weight, readerKey),
		stale: n.stateStale(), unreachable: n.platformUnreachable(),
	}
	if n.leaving || !n.isHub {
		local.score, local.stale = 0, true
	}
	candidates := []leaderCandidate{local}
	live := 1
	for _, m := range n.members {
		if !n.usable(now, m) {
			continue
		}
		live++
		if !m.isHub {
			continue
		}
		candidates = append(candidates, leaderCandidate{
			peer: m, domain: m.domain, score: m.leaderScore,
			stale: m.stateAge > n.cfg.MaxLeaderStateAge, unreachable: m.platformUnreachable,
		})
	}
	// peakRouters never decreases: retry.Budget divides the fleet's retry allowance by it, and
	// the part of a router that is missing now is kept for its return.
	n.peakRouters = max(n.peakRouters, live)
	n.sharedPeakRouters.Store(int64(n.peakRouters))
	return candidates
}

// stateStale reports whether this router's state is missing or too old to be distributed.
func (n *Node) stateStale() bool {
	return n.feed != nil && n.feed.Age() > n.cfg.MaxLeaderStateAge
}

// platformUnreachable reports whether the platform has recently not answered this router.
func (n *Node) platformUnreachable() bool {
	return n.feed != nil && n.feed.PlatformUnreachable()
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
