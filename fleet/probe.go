package fleet

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/registry"
)

const (
	// probeAge is the age of the view from which homes ask upstreams themselves whether they
	// warm up: an upstream may turn cold at any time, and its entry can't be read.
	probeAge = time.Second
	// probeEvery is the time between two probes of an upstream, and the longest that one takes.
	probeEvery = 500 * time.Millisecond
)

// warmUpEvent is what an upstream answered to a probe.
type warmUpEvent struct {
	key      groupKey
	upstream dispatch.Incarnation
	left     time.Duration
}

// probeWarmUps asks the upstreams of a group whether they warm up, while this router is the
// group's home and its view is old. Services without a warm-up limit are not probed.
func (n *Node) probeWarmUps(now boottime.Time, key groupKey, g *group) {
	if n.cfg.WarmUpLeft == nil || n.feed == nil || g.home != n.self || now.Sub(g.probedAt) < probeEvery || n.feed.Age() < probeAge {
		return
	}
	s := n.feed.Snapshot()
	if s == nil {
		return
	}
	svc := s.Table.Service(key.service)
	if svc == nil || !svc.WarmUp.Limited() {
		return
	}
	g.probedAt = now
	ready := s.View.Ready(key.service)
	count := n.counts.of(key.service, len(ready))
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) == key.index {
			go n.probeWarmUp(key, u, svc.HealthPath)
		}
	}
}

func (n *Node) probeWarmUp(key groupKey, u *registry.Upstream, healthPath string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeEvery)
	defer cancel()
	left, err := n.cfg.WarmUpLeft(ctx, u, healthPath)
	if err != nil {
		n.limited.Warn("probe", func(e *obs.Event) {
			e.Str("upstream", u.ID).Err(err).Msg("upstream didn't say whether it warms up")
		})
		return
	}
	if left > 0 {
		n.post(warmUpEvent{key: key, upstream: incarnation(u), left: left})
	}
}

// takeWarmUp takes in that an upstream warms up.
func (n *Node) takeWarmUp(now boottime.Time, e warmUpEvent) {
	g := n.groups[e.key]
	if g == nil {
		return
	}
	n.limited.Info("probe", func(l *obs.Event) {
		l.Str("upstream", e.upstream.ID).Int64("warm_up_ms", e.left.Milliseconds()).Msg("upstream warms up")
	})
	n.deliver(now, e.key, g.core.SetWarmingUp(time.Duration(now), e.upstream, e.left))
}
