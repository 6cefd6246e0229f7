package router

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// pollVMs reads the platform's list of VMs.
func (r *Router) pollVMs() {
	for {
		list, err := r.platform.ListVMs(r.ctx)
		if err != nil {
			r.log.Warn().Err(err).Msg("list of VMs not read")
		} else {
			r.post(listed{list: list})
		}
		if !r.sleep(r.cfg.VMPollInterval) {
			return
		}
	}
}

// watchBundle keeps a waiting watch on the bundle, if this router is one of its
// failure domain's watchers.
func (r *Router) watchBundle() {
	etag := ""
	for {
		if !r.isWatcher() {
			if !r.sleep(r.cfg.TickInterval) {
				return
			}
			continue
		}
		raw, newTag, err := r.platform.WatchBundle(r.ctx, etag, r.cfg.WatchTimeout)
		switch {
		case err != nil:
			r.log.Warn().Err(err).Msg("bundle not read")
			if !r.sleep(r.cfg.VMPollInterval) {
				return
			}
		case raw != nil:
			etag = newTag
			r.offerRaw(raw)
		}
		if r.ctx.Err() != nil {
			return
		}
	}
}

func (r *Router) offerRaw(raw []byte) {
	signed := &bundle.Signed{}
	if err := json.Unmarshal(raw, signed); err != nil {
		r.metrics.Scope.Counter("bundles_refused").Inc(1)
		r.log.Error().Err(err).Msg("bundle refused: not a signed bundle")
		return
	}
	r.offerSigned(signed, "platform")
}

// isWatcher reports whether this router is one of its failure domain's watchers:
// those that rendezvous hashing ranks first among the live VMs of the domain.
// The platform counts a waiting watch as a call, so not everybody may wait.
func (r *Router) isWatcher() bool {
	watches := false
	r.inspect(func(c *control) { watches = c.watches(time.Now()) })
	r.watching.Store(watches)
	return watches
}

func (c *control) watches(now time.Time) bool {
	live := c.node.Live(now)
	var domain []string
	for _, l := range c.list {
		if l.FailureDomain == c.r.cfg.FailureDomain && slices.Contains(live, l.Name) {
			domain = append(domain, l.Name)
		}
	}
	if !slices.Contains(domain, c.r.cfg.Name) {
		domain = append(domain, c.r.cfg.Name)
	}
	for range c.r.cfg.WatchersPerDomain {
		first := membership.Home(domain, "watch")
		if first == c.r.cfg.Name {
			return true
		}
		domain = slices.DeleteFunc(domain, func(name string) bool { return name == first })
	}
	return false
}

// pollLoads reads the load reports of the upstreams that this router is home of.
func (r *Router) pollLoads() {
	client := &http.Client{Timeout: time.Second}
	for r.sleep(r.cfg.LoadPollInterval) {
		var homes []sched.Upstream
		r.inspect(func(c *control) { homes = c.node.HomedUpstreams() })
		for _, u := range homes {
			r.wg.Go(func() { r.pollLoad(client, u) })
		}
	}
}

// maxLoadReport bounds what is read of a load report.
const maxLoadReport = 4 << 10

func (r *Router) pollLoad(client *http.Client, u sched.Upstream) {
	v := r.view.Load()
	if v == nil || v.upstreams[u.ID].Kind != bundle.Engine {
		return
	}
	resp, err := client.Get("http://" + v.upstreams[u.ID].Address + "/load")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var l limits.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadReport)).Decode(&l); err != nil {
		return
	}
	r.post(loaded{pool: u.Pool, upstream: u.ID, load: l})
}

// sleep waits; it returns false when the router stops.
func (r *Router) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
