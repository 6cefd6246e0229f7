package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/standin"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// services are the two groups of upstreams.
var services = [2]string{"svc-a", "svc-b"}

// operator publishes configurations and keeps what callers need to know of them.
type operator struct {
	store *standin.Store
	rec   *Recorder
	mu    sync.Mutex
	cfg   routing.Config
	// key is the one that callers of the changing team should use, old the one
	// before it.
	key, old string
	keys     int
	added    []string
	// evacuated are the failure domains that are being evacuated.
	evacuated map[string]bool
}

// fixedKey belongs to a team whose key stays.
const fixedKey = "key-fixed"

func newOperator(store *standin.Store, rec *Recorder, limit warmup.Limit) *operator {
	o := &operator{store: store, rec: rec, key: "key-0", evacuated: map[string]bool{}}
	o.cfg = routing.Config{
		Routes: []routing.Route{
			route(Repeatable, prefixes[Repeatable], services[0]),
			route(AtMostOnce, prefixes[AtMostOnce], services[0]),
			route(ResumableStream, prefixes[ResumableStream], services[1]),
			route(AtMostOnceStream, prefixes[AtMostOnceStream], services[1]),
			route(Moving, prefixes[Moving], services[0]),
		},
		Services: []routing.Service{
			{Name: services[0], HealthPath: "/health", MaxConns: 500, WarmUp: limit},
			{Name: services[1], HealthPath: "/health", MaxConns: 500, WarmUp: limit},
		},
		Teams:  []routing.Team{{Name: "schools", Keys: []string{fixedKey}}, {Name: "homes", Keys: []string{o.key}}},
		Limits: routing.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second},
	}
	return o
}

// publish writes the configuration as a new version; the caller holds mu. It
// returns when the store acknowledged it.
func (o *operator) publish() (time.Duration, error) {
	o.cfg.Version++
	key, value, err := platform.EncodeConfig(o.cfg)
	if err != nil {
		return 0, err
	}
	o.store.Put(key, value)
	return o.rec.Now(), nil
}

// changeKey takes the changing team's key away and gives it another.
func (o *operator) changeKey() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys++
	o.old, o.key = o.key, fmt.Sprint("key-", o.keys)
	o.cfg.Teams = []routing.Team{o.cfg.Teams[0], {Name: "homes", Keys: []string{o.key}}}
	// A router may deny the old key before this knows that it was published.
	gone := 0
	o.rec.Add(func(h *History) {
		gone = len(h.RevokedKeys)
		h.RevokedKeys = append(h.RevokedKeys, Change{Name: o.old, At: o.rec.Now()})
	})
	at, err := o.publish()
	o.rec.Add(func(h *History) { h.RevokedKeys[gone].At = at })
	return err
}

// move sends the moving route to the other service.
func (o *operator) move() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, r := range o.cfg.Routes {
		if r.Prefix != prefixes[Moving] {
			continue
		}
		to := services[0]
		if r.Split[0].Service == to {
			to = services[1]
		}
		o.cfg.Routes[i] = route(Moving, r.Prefix, to)
		at, err := o.publish()
		o.rec.Add(func(h *History) { h.RouteMoves = append(h.RouteMoves, Change{Name: to, At: at}) })
		return err
	}
	return nil
}

// add adds a route.
func (o *operator) add() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	prefix := fmt.Sprintf("/add%d/", len(o.added)+1)
	o.cfg.Routes = append(o.cfg.Routes, route(Added, prefix, services[len(o.added)%2]))
	at, err := o.publish()
	o.added = append(o.added, prefix)
	o.rec.Add(func(h *History) { h.RouteAdditions = append(h.RouteAdditions, Change{Name: prefix, At: at}) })
	return err
}

// known is what a caller may use now.
func (o *operator) known() (key, old string, added []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.key, o.old, o.added
}

// register writes an upstream's entry.
func (o *operator) register(u registry.Upstream) error {
	key, value, err := platform.EncodeUpstream(u)
	if err != nil {
		return err
	}
	o.store.Put(key, value)
	return nil
}

// deregister removes an upstream's entry.
func (o *operator) deregister(id string) { o.store.Delete(platform.UpstreamKey(id)) }
