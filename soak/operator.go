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

// services are the names of the two services; each has its own upstreams.
var services = [2]string{"svc-a", "svc-b"}

// operator publishes configurations and holds the keys and routes that callers use.
type operator struct {
	store *standin.Store
	rec   *Recorder
	mu    sync.Mutex
	cfg   routing.Config
	// key is the current key of the team with changing keys, oldKey the previous one.
	key, oldKey string
	keyChanges  int
	added       []string
	// evacuated is the set of failure domains that are being evacuated.
	evacuated map[string]bool
	// entries are the published entries of upstreams.
	entries map[string]registry.Upstream
}

// fixedKey is the key of the team whose key never changes.
const fixedKey = "key-fixed"

func newOperator(store *standin.Store, rec *Recorder, limit warmup.Limit) *operator {
	o := &operator{store: store, rec: rec, key: "key-0", evacuated: map[string]bool{}, entries: map[string]registry.Upstream{}}
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

// publish writes the configuration as a new version and returns the time at which the
// store acknowledged it. The caller must hold mu.
func (o *operator) publish() (time.Duration, error) {
	o.cfg.Version++
	key, value, err := platform.EncodeConfig(o.cfg)
	if err != nil {
		return 0, err
	}
	o.store.Put(key, value)
	return o.rec.Now(), nil
}

// changeKey replaces the key of the team with changing keys.
func (o *operator) changeKey() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyChanges++
	o.oldKey, o.key = o.key, fmt.Sprint("key-", o.keyChanges)
	o.cfg.Teams = []routing.Team{o.cfg.Teams[0], {Name: "homes", Keys: []string{o.key}}}
	// Recorded before publishing, since a router may reject the old key before publish returns.
	index := 0
	o.rec.Add(func(h *History) {
		index = len(h.RevokedKeys)
		h.RevokedKeys = append(h.RevokedKeys, Change{Name: o.oldKey, At: o.rec.Now()})
	})
	at, err := o.publish()
	o.rec.Add(func(h *History) { h.RevokedKeys[index].At = at })
	return err
}

// moveRoute moves the moving route to the other service.
func (o *operator) moveRoute() error {
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

// addRoute publishes an additional route.
func (o *operator) addRoute() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	prefix := fmt.Sprintf("/add%d/", len(o.added)+1)
	o.cfg.Routes = append(o.cfg.Routes, route(Added, prefix, services[len(o.added)%2]))
	at, err := o.publish()
	o.added = append(o.added, prefix)
	o.rec.Add(func(h *History) { h.RouteAdditions = append(h.RouteAdditions, Change{Name: prefix, At: at}) })
	return err
}

// credentials returns the current and the previous key and the prefixes of added routes.
func (o *operator) credentials() (key, oldKey string, added []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.key, o.oldKey, o.added
}

// register writes an upstream's entry.
func (o *operator) register(u registry.Upstream) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries[u.ID] = u
	return o.writeEntry(u)
}

func (o *operator) writeEntry(u registry.Upstream) error {
	key, value, err := platform.EncodeUpstream(u)
	if err != nil {
		return err
	}
	o.store.Put(key, value)
	return nil
}

// deregister removes an upstream's entry.
func (o *operator) deregister(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.entries, id)
	o.store.Delete(platform.UpstreamKey(id))
}
