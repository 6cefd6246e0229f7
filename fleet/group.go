package fleet

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// groupKey names a group of a service's upstreams.
type groupKey struct {
	service string
	index   int
}

// group is a subset of a service's upstreams. One router, its home, decides on the requests
// that are sent to it.
type group struct {
	name string
	core *dispatch.Core
	// home is the current home's incarnation, 0 if none has been chosen yet; homeSince is
	// when it became the home.
	home      uint64
	homeSince boottime.Time
	// loggedCounts are the counts in the last log line, which was written at loggedAt.
	loggedCounts dispatch.Counts
	loggedAt     boottime.Time
	// spareSoughtAt is when the homes of other groups were last asked for what they could serve.
	spareSoughtAt boottime.Time
}

// groupIndex returns the group of a request. It distributes sessions over the groups, and
// requests without a session by their sequence number.
func (n *Node) groupIndex(s *feed.Snapshot, service string, count int, parts []dispatch.Part, seq uint64) int {
	if count == 1 {
		return 0
	}
	session := seq
	if len(parts) > 1 {
		session = parts[len(parts)-2].ID
	}
	key := service + strconv.FormatUint(session, 16)
	if n.cfg.Engine.Handover {
		return weightedGroup(key, n.groupWeights.of(s, service, count))
	}
	return int(xxhash.Sum64String(key) % uint64(count))
}

// groupOfUpstream returns the index of an upstream's group, by the hash of its ID.
func groupOfUpstream(id string, count int) int {
	return int(xxhash.Sum64String(id) % uint64(count))
}

// maxGroups limits the groups of one service, so that an invalid group number from a peer
// can't create groups without bound.
const maxGroups = 1 << 10

// group returns a group of a service with its current upstreams. It returns nil if the
// service isn't in this router's state: the peer that names it may have a newer state, or
// its datagram is invalid.
func (n *Node) group(now boottime.Time, key groupKey) *group {
	if g := n.groups[key]; g != nil {
		return g
	}
	s := n.feed.Snapshot()
	if s == nil || s.Table.Service(key.service) == nil || key.index < 0 || key.index >= maxGroups {
		return nil
	}
	cfg := n.cfg.Plain
	if s.Table.Service(key.service).Engine != nil {
		cfg = n.cfg.Engine
	}
	g := &group{name: key.service + "/" + strconv.Itoa(key.index), core: dispatch.New(cfg)}
	n.groups[key] = g
	n.updateGroup(now, key, g, s)
	return g
}

// updateGroup sets the upstreams of a group and its share of the engines' capacity.
func (n *Node) updateGroup(now boottime.Time, key groupKey, g *group, s *feed.Snapshot) {
	ready := s.View.Ready(key.service)
	svc := s.Table.Service(key.service)
	count := n.groupCounts.update(key.service, len(ready))
	var members []dispatch.Member
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) != key.index || n.availability.Leaving(time.Duration(now), incarnation(u)) {
			continue
		}
		m := dispatch.Member{Incarnation: incarnation(u), Slots: slots(u), Domain: u.FailureDomain, Region: n.cfg.Regions[u.FailureDomain], Version: u.Version}
		if svc != nil && svc.WarmUp.Limited() {
			m.WarmUntil = time.Duration(warmUntil(s.View, u, svc.WarmUp))
			m.WarmUpDuration, m.WarmUpRate = svc.WarmUp.Duration, n.cfg.WarmUp.Rate(svc.WarmUp)
			if n.cfg.WarmUpLeft != nil {
				m.RequestsPerProbe = n.cfg.WarmUp.RequestsPerProbe(svc.WarmUp)
			}
		}
		if svc != nil && svc.Engine != nil {
			m.KVTokens = svc.Engine.KVTokens
			m.CopyPerToken = copyTime(svc.Engine)
		}
		members = append(members, m)
	}
	g.core.SetCapacity(capacityShare(s, len(members)))
	g.core.SetLocality(n.localServices.update(s, key.service))
	n.deliver(now, key, g.core.SetMembers(time.Duration(now), members))
}

// copyTime returns the time that an engine takes to copy one cached token from another
// engine.
func copyTime(e *routing.Engine) time.Duration {
	if e.KVTokenBytes <= 0 || e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(e.KVTokenBytes) * bitsPerByte / (e.LinkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

func incarnation(u *registry.Upstream) dispatch.Incarnation {
	return dispatch.Incarnation{ID: u.ID, Started: u.Started}
}

func slots(u *registry.Upstream) int { return max(u.Slots, 1) }

// capacityShare returns the share of the engines' total capacity, in tokens per second, that
// belongs to the given number of upstreams.
func capacityShare(s *feed.Snapshot, upstreams int) float64 {
	total := 0
	for i := range s.Table.Config.Services {
		if svc := &s.Table.Config.Services[i]; svc.Engine != nil {
			total += s.View.Count(svc.Name)
		}
	}
	if total == 0 {
		return 0
	}
	return s.Table.Config.Limits.TokensPerSecond * float64(upstreams) / float64(total)
}

// applyState updates the groups from the published state.
func (n *Node) applyState(now boottime.Time) {
	s := n.feed.Snapshot()
	if s == nil {
		return
	}
	n.appliedSnapshot = s
	n.updateVersions(now, s)
	for key, g := range n.groups {
		n.updateGroup(now, key, g, s)
	}
	n.pushState(now)
}

// homeOf returns the home of a group, nil for this router. It is a hub, unless no hub is
// reachable.
func (n *Node) homeOf(now boottime.Time, g *group) *member { return n.hubFor(now, g.name) }

// hubFor returns the hub that is responsible for a key by rendezvous hashing, nil for this
// router. It returns nil as well if no hub is reachable.
func (n *Node) hubFor(now boottime.Time, key string) *member {
	var best *member
	score := math.Inf(-1)
	if n.isHub && !n.leaving {
		score = rendezvousScore(n.self, n.cfg.Weight, key)
	}
	for _, m := range n.members {
		if !m.isHub || !n.usable(now, m) {
			continue
		}
		if p := rendezvousScore(m.id, m.weight, key); p > score {
			best, score = m, p
		}
	}
	return best
}

// updateHomes detects changes of the groups' homes. It reports this router's requests in
// flight to a new home, which would otherwise treat the upstreams as idle and overload them.
func (n *Node) updateHomes(now boottime.Time) {
	for key, g := range n.groups {
		home, id := n.homeOf(now, g), n.self
		if home != nil {
			id = home.id
		}
		if id == g.home {
			continue
		}
		first := g.home == 0
		g.home, g.homeSince = id, now
		n.log.Info().Str("event", "home").Str("group", g.name).Uint64("router", id).Bool("self", home == nil).Msg("home of a group changed")
		if !first {
			n.handOverRequests(now, g, home)
		}
		if home == nil {
			n.requestCacheReports(key)
		}
	}
}

// cacheReportTimeout limits the request for an engine's cache report. The report is useful
// as long as the cache exists, but until it arrives the home places requests without it.
const cacheReportTimeout = time.Second

// requestCacheReports requests a cache report from each engine of a group, after this router
// has become the group's home.
func (n *Node) requestCacheReports(key groupKey) {
	s := n.feed.Snapshot()
	if s == nil || n.cfg.CachedParts == nil {
		return
	}
	if svc := s.Table.Service(key.service); svc == nil || svc.Engine == nil {
		return
	}
	ready := s.View.Ready(key.service)
	count := n.groupCounts.update(key.service, len(ready))
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) == key.index {
			go n.requestCacheReport(key, u)
		}
	}
}

// maxCacheReports is the number of cache reports that are read at the same time, each of which takes up
// to a few megabytes.
const maxCacheReports = 4

func (n *Node) requestCacheReport(key groupKey, u *registry.Upstream) {
	select {
	case n.cacheReports <- struct{}{}:
		defer func() { <-n.cacheReports }()
	case <-n.done:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheReportTimeout)
	defer cancel()
	report, err := n.cfg.CachedParts(ctx, u.Address)
	if err != nil {
		n.limited.Warn("cached", func(e *obs.Event) {
			e.Str("upstream", u.ID).Err(err).Msg("failed to get the cache report of an engine")
		})
		return
	}
	n.limited.Info("cached", func(e *obs.Event) {
		e.Str("upstream", u.ID).Int("parts", len(report.Parts)).Msg("received the cache report of an engine")
	})
	n.post(cacheReportEvent{key: key, upstream: report.from(u), parts: report.Parts})
}

func (n *Node) handOverRequests(now boottime.Time, g *group, home *member) {
	for _, h := range n.inFlight {
		if h.group != g {
			continue
		}
		if home == nil {
			g.core.AddInFlight(time.Duration(now), h.request, h.upstream, h.responseStarted)
			continue
		}
		n.send(home.addr, &packet{Report: &report{
			Kind: reportInFlight, Seq: h.request.Ticket.Seq, Service: h.key.service, Group: h.key.index,
			Request: n.newPlaceRequest(h.key, h.request), Upstream: h.upstream.ID, Started: h.upstream.Started, ResponseStarted: h.responseStarted,
		}})
	}
}
