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
	"github.com/aspenswitch/aspenswitch/upstream"
)

// pollVMs polls the platform's list of VMs until the router stops.
func (r *Router) pollVMs() {
	for {
		list, err := r.platform.ListVMs(r.ctx)
		if err != nil {
			r.log.Warn().Err(err).Msg("failed to read the list of VMs")
		} else {
			r.post(vmListUpdate{list: list})
		}
		if !r.sleep(r.cfg.VMPollInterval) {
			return
		}
	}
}

// watchBundle long-polls the platform for the bundle while this router is one of
// its failure domain's watchers.
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
			r.log.Warn().Err(err).Msg("failed to read the bundle")
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
// the VMs that rendezvous hashing ranks first among the domain's live VMs. The
// platform counts each pending watch as a call, so only a few routers may watch.
func (r *Router) isWatcher() bool {
	watches := false
	r.inspect(func(c *controller) { watches = c.shouldWatch(time.Now()) })
	r.watching.Store(watches)
	return watches
}

func (c *controller) shouldWatch(now time.Time) bool {
	live := c.node.Live(now)
	var domain []string
	for _, l := range c.listedVMs {
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

// pollLoads polls the load reports of the upstreams whose home is this router.
func (r *Router) pollLoads() {
	client := &http.Client{Timeout: time.Second, Transport: &upstream.CheckedTransport{Base: &http.Transport{MaxResponseHeaderBytes: maxLoadReportBytes}}}
	for r.sleep(r.cfg.LoadPollInterval) {
		var homes []sched.Upstream
		r.inspect(func(c *controller) { homes = c.node.HomedUpstreams() })
		for _, u := range homes {
			r.wg.Go(func() { r.pollLoad(client, u) })
		}
	}
}

// maxLoadReportBytes limits how much of a load report is read, and its header.
const maxLoadReportBytes = 4 << 10

func (r *Router) pollLoad(client *http.Client, u sched.Upstream) {
	v := r.inForce.Load()
	if v == nil || v.upstreams[u.ID].Kind != bundle.Engine {
		return
	}
	resp, err := client.Get("http://" + v.upstreams[u.ID].Address + "/load")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var l limits.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadReportBytes)).Decode(&l); err != nil {
		return
	}
	r.post(loadReport{pool: u.Pool, upstream: u.ID, load: l})
}

// sleep waits for d. It returns false if the router stops first.
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
