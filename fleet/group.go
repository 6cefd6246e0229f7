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

// group is a part of a service's upstreams for which one router decides.
type group struct {
	key  string
	core *dispatch.Core
	// home is the router that decided last, 0 if none has yet; homeSince is when it began.
	home      uint64
	homeSince boottime.Time
	// probedAt is when this router last asked the upstreams whether they warm up.
	probedAt boottime.Time
	// told and toldAt are the counts in the last line of the log.
	told   dispatch.Counts
	toldAt boottime.Time
}

// pickGroup spreads sessions over groups.
func (n *Node) pickGroup(service string, count int, parts []dispatch.Part, seq uint64) int {
	if count == 1 {
		return 0
	}
	session := seq
	if len(parts) > 1 {
		session = parts[len(parts)-2].ID
	}
	return int(xxhash.Sum64String(service+strconv.FormatUint(session, 16)) % uint64(count))
}

// groupOfUpstream divides upstreams by their IDs.
func groupOfUpstream(id string, count int) int {
	return int(xxhash.Sum64String(id) % uint64(count))
}

// maxGroups bounds the groups of one service: a question names one by number.
const maxGroups = 1 << 10

// group returns a group of the service, with its present upstreams. It is nil if
// this router knows no such service: the asker knows more, or the datagram was
// no question of ours.
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
	g := &group{key: key.service + "/" + strconv.Itoa(key.index), core: dispatch.New(cfg)}
	n.groups[key] = g
	n.fill(now, key, g, s)
	return g
}

// fill gives a group its upstreams and its part of the engines' yield.
func (n *Node) fill(now boottime.Time, key groupKey, g *group, s *feed.Snapshot) {
	ready := s.View.Ready(key.service)
	svc := s.Table.Service(key.service)
	count := n.counts.of(key.service, len(ready))
	var members []dispatch.Member
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) != key.index || n.availability.Leaving(time.Duration(now), incarnation(u)) {
			continue
		}
		m := dispatch.Member{Incarnation: incarnation(u), Slots: slots(u), Region: n.cfg.Regions[u.FailureDomain]}
		if svc != nil && svc.WarmUp.Limited() {
			m.WarmUntil = time.Duration(warmUntil(s.View, u, svc.WarmUp))
			m.WarmUpDuration, m.WarmUpRate = svc.WarmUp.Duration, n.cfg.WarmUp.Rate(svc.WarmUp)
		}
		if svc != nil && svc.Engine != nil {
			m.KVTokens = svc.Engine.KVTokens
			m.CopyPerToken = copyTime(svc.Engine)
		}
		members = append(members, m)
	}
	g.core.SetCapacity(yield(s, len(members)))
	n.deliver(now, key, g.core.SetMembers(time.Duration(now), members))
}

// copyTime is how long an engine takes to copy a cached token from another.
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

// yield is the part of the engines' tokens a second that some of them give.
func yield(s *feed.Snapshot, some int) float64 {
	all := 0
	for i := range s.Table.Config.Services {
		if svc := &s.Table.Config.Services[i]; svc.Engine != nil {
			all += s.View.Count(svc.Name)
		}
	}
	if all == 0 {
		return 0
	}
	return s.Table.Config.Limits.TokensPerSecond * float64(some) / float64(all)
}

// changed refills the groups.
func (n *Node) changed(now boottime.Time) {
	s := n.feed.Snapshot()
	if s == nil {
		return
	}
	n.filled = s
	for key, g := range n.groups {
		n.fill(now, key, g, s)
	}
	n.pushState(now)
}

// homeOf is the router that decides for a group: nil means this one. It is a hub,
// unless none is heard.
func (n *Node) homeOf(now boottime.Time, g *group) *member { return n.hubFor(now, g.key) }

// hubFor is the hub that has a matter in its hands: nil means this router, which it also
// is if no hub is heard.
func (n *Node) hubFor(now boottime.Time, key string) *member {
	var best *member
	score := math.Inf(-1)
	if n.hub && !n.leaving {
		score = preference(n.self, n.cfg.Weight, key)
	}
	for _, m := range n.members {
		if !m.hub || !n.usable(now, m) {
			continue
		}
		if p := preference(m.id, m.weight, key); p > score {
			best, score = m, p
		}
	}
	return best
}

// checkHomes tells a group's new home what this router has at its upstreams:
// else it would take them for idle and send them more than they can do.
func (n *Node) checkHomes(now boottime.Time) {
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
		n.log.Info().Str("event", "home").Str("group", g.key).Uint64("router", id).Bool("self", home == nil).Msg("home of a group")
		if !first {
			n.tellHeld(now, g, home)
		}
		if home == nil {
			n.askCached(key)
		}
	}
}

// cachedTimeout bounds the question to an engine. Its answer is of use for as
// long as the cache lives, but a home that waits for it places blindly.
const cachedTimeout = time.Second

// askCached asks the engines of a group that this router has become the home of
// what they keep, each once.
func (n *Node) askCached(key groupKey) {
	s := n.feed.Snapshot()
	if s == nil || n.cfg.Cached == nil {
		return
	}
	if svc := s.Table.Service(key.service); svc == nil || svc.Engine == nil {
		return
	}
	ready := s.View.Ready(key.service)
	count := n.counts.of(key.service, len(ready))
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) == key.index {
			go n.askCachedOf(key, u)
		}
	}
}

func (n *Node) askCachedOf(key groupKey, u *registry.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), cachedTimeout)
	defer cancel()
	kept, err := n.cfg.Cached(ctx, u.Address)
	if err != nil {
		n.limited.Warn("cached", func(e *obs.Event) {
			e.Str("upstream", u.ID).Err(err).Msg("engine didn't say what it keeps")
		})
		return
	}
	n.limited.Info("cached", func(e *obs.Event) {
		e.Str("upstream", u.ID).Int("parts", len(kept.Parts)).Msg("engine said what it keeps")
	})
	n.post(cachedEvent{key: key, upstream: kept.from(u), parts: kept.Parts})
}

func (n *Node) tellHeld(now boottime.Time, g *group, home *member) {
	for _, h := range n.held {
		if h.group != g {
			continue
		}
		if home == nil {
			g.core.AddInFlight(time.Duration(now), h.request, h.upstream, h.begun)
			continue
		}
		n.send(home.addr, &packet{Report: &report{
			Kind: holds, Seq: h.request.Ticket.Seq, Service: h.key.service, Group: h.key.index,
			Held: n.newAsk(h.key, h.request), Upstream: h.upstream.ID, Started: h.upstream.Started, Begun: h.begun,
		}})
	}
}
