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
	// probeStateAge is the age of the published state from which on homes probe upstreams
	// for their warm-up: an upstream may need a warm-up at any time, and while the platform can't
	// be read its entry doesn't show that.
	probeStateAge = time.Second
	// probeInterval is the time between two probes of an upstream, and the timeout of each.
	probeInterval = 500 * time.Millisecond
)

// warmUpEvent is an upstream's remaining warm-up time according to a probe.
type warmUpEvent struct {
	key      groupKey
	upstream dispatch.Incarnation
	left     time.Duration
}

// probeWarmUps probes the upstreams of a group for their warm-up while this router is the
// group's home and its state is old. Services without a warm-up limit are not probed.
func (n *Node) probeWarmUps(now boottime.Time, key groupKey, g *group) {
	if n.cfg.WarmUpLeft == nil || n.feed == nil || g.home != n.self || now.Sub(g.probedAt) < probeInterval || n.feed.Age() < probeStateAge {
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
	count := n.groupCounts.update(key.service, len(ready))
	for _, u := range ready {
		if groupOfUpstream(u.ID, count) == key.index {
			go n.probeWarmUp(key, u, svc.HealthPath)
		}
	}
}

func (n *Node) probeWarmUp(key groupKey, u *registry.Upstream, healthPath string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	left, err := n.cfg.WarmUpLeft(ctx, u, healthPath)
	if err != nil {
		n.limited.Warn("probe", func(e *obs.Event) {
			e.Str("upstream", u.ID).Err(err).Msg("failed to probe the warm-up of an upstream")
		})
		return
	}
	if left > 0 {
		n.post(warmUpEvent{key: key, upstream: incarnation(u), left: left})
	}
}

// handleWarmUp records that an upstream is warming up.
func (n *Node) handleWarmUp(now boottime.Time, e warmUpEvent) {
	g := n.groups[e.key]
	if g == nil {
		return
	}
	n.limited.Info("probe", func(l *obs.Event) {
		l.Str("upstream", e.upstream.ID).Int64("warm_up_ms", e.left.Milliseconds()).Msg("upstream is warming up")
	})
	n.deliver(now, e.key, g.core.SetWarmingUp(time.Duration(now), e.upstream, e.left))
}
