package fleet

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

const (
	// probeStateAge is the age of the published state from which on upstreams are probed for
	// their warm-up: an upstream may need a warm-up at any time, and while the platform can't
	// be read its entry doesn't show that.
	probeStateAge = time.Second
	// probeTimeout limits a probe. An upstream that is under load answers within milliseconds.
	probeTimeout = 250 * time.Millisecond
)

// probeEvent is the result of a probe.
type probeEvent struct {
	key      groupKey
	upstream dispatch.Incarnation
	// warmUpLeft is the upstream's remaining warm-up time, undefined if the probe failed.
	warmUpLeft time.Duration
	failed     bool
}

// updateProbing requires probes of a group's upstreams while the published state is old.
func (n *Node) updateProbing(g *group) {
	g.core.RequireProbes(n.feed != nil && n.feed.Age() >= probeStateAge)
}

// sendProbes sends the probes of a group's upstreams that are due.
func (n *Node) sendProbes(now boottime.Time, key groupKey) {
	for _, at := range n.groups[key].core.ProbesDue(time.Duration(now)) {
		go n.probe(key, at)
	}
}

// probe requests the remaining warm-up time of an upstream.
func (n *Node) probe(key groupKey, at dispatch.Incarnation) {
	result := probeEvent{key: key, upstream: at, failed: true}
	defer func() { n.post(result) }()
	s := n.feed.Snapshot()
	u, svc := s.View.Upstream(at.ID), s.Table.Service(key.service)
	if u == nil || svc == nil {
		return // it was removed meanwhile
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	left, err := n.cfg.WarmUpLeft(ctx, u, svc.HealthPath)
	if err != nil {
		n.limited.Warn("probe", func(e *obs.Event) {
			e.Str("upstream", u.ID).Err(err).Msg("failed to probe the warm-up of an upstream")
		})
		return
	}
	result.warmUpLeft, result.failed = left, false
}

// handleProbe applies the result of a probe.
func (n *Node) handleProbe(now boottime.Time, e probeEvent) {
	g := n.groups[e.key]
	if g == nil {
		return
	}
	at := time.Duration(now)
	switch {
	case e.failed:
		n.deliver(now, e.key, g.core.ProbeFailed(at, e.upstream))
	case e.warmUpLeft > 0:
		n.limited.Info("probe", func(l *obs.Event) {
			l.Str("upstream", e.upstream.ID).Int64("warm_up_ms", e.warmUpLeft.Milliseconds()).Msg("upstream is warming up")
		})
		n.deliver(now, e.key, g.core.SetWarmingUp(at, e.upstream, e.warmUpLeft))
	default:
		n.deliver(now, e.key, g.core.SetWarm(at, e.upstream))
	}
}
