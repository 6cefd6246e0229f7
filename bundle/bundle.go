package bundle

import (
	"slices"
	"strings"
)

// Bundle is one version of the fleet's settings.
type Bundle struct {
	// Version must increase with each roll-out. To roll back, publish the old
	// content as a new version.
	Version   uint64     `json:"version"`
	Teams     []Team     `json:"teams"`
	Pools     []Pool     `json:"pools"`
	Upstreams []Upstream `json:"upstreams"`
	// Evacuated lists failure domains whose upstreams get no new requests.
	Evacuated []string `json:"evacuated,omitempty"`
	Limits    Limits   `json:"limits"`
}

// Team is a tenant of the fleet.
type Team struct {
	// ID identifies the team in messages between routers. It must never be reused
	// for another team.
	ID   int    `json:"id"`
	Name string `json:"name"`
	// Share is the team's fair-share weight relative to the other teams.
	Share float64 `json:"share"`
	// Keys are hashes of the team's bearer keys: "sha256:" followed by 64 hex digits.
	Keys []string `json:"keys"`
	// Pools are the names of the pools that the team may use; empty means all pools.
	Pools []string `json:"pools"`
}

// Pool is a set of upstreams that serve the same models or services.
type Pool struct {
	ID   int    `json:"id"`
	Name string `json:"name"`
	// Models are the names of the models that every engine of the pool serves.
	Models []string `json:"models"`
	// Service is the name of the plain service that the pool serves, empty for a
	// pool of engines. Routes apply to services only.
	Service string  `json:"service"`
	Routes  []Route `json:"routes"`
}

// Route defines how requests to a plain service are handled.
type Route struct {
	Method string `json:"method"`
	// Path is a prefix of the request path relative to the service.
	Path string `json:"path"`
	// Repeatable marks requests as idempotent: they may be retried after a failure.
	Repeatable bool `json:"repeatable"`
}

// Kind is the type of an upstream.
type Kind string

// The kinds of upstream.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Upstream is one instance of a model engine or plain service.
type Upstream struct {
	// ID identifies the upstream in messages between routers. It must never be
	// reused for another upstream.
	ID   int    `json:"id"`
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	Pool string `json:"pool"`
	// Address is an IP address and port.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Resumable marks engines that can resume an interrupted stream from a given event.
	Resumable bool `json:"resumable"`
	// Leaving marks upstreams that get no new requests.
	Leaving bool `json:"leaving"`
}

// Limits bounds callers' requests.
type Limits struct {
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `json:"bodyBytes"`
	// QueuePerTeam is the maximum number of queued requests of a team at one router.
	QueuePerTeam int `json:"queuePerTeam"`
}

// Schedulable reports whether an upstream of the bundle may get new requests.
func (b *Bundle) Schedulable(u Upstream) bool {
	return !u.Leaving && !slices.Contains(b.Evacuated, u.FailureDomain)
}

// PoolByName returns the pool with the given name and whether it exists.
func (b *Bundle) PoolByName(name string) (Pool, bool) {
	i := slices.IndexFunc(b.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return b.Pools[i], true
}

// PoolForModel returns the pool that serves a model and whether there is one.
func (b *Bundle) PoolForModel(model string) (Pool, bool) {
	i := slices.IndexFunc(b.Pools, func(p Pool) bool { return slices.Contains(p.Models, model) })
	if i < 0 {
		return Pool{}, false
	}
	return b.Pools[i], true
}

// PoolForService returns the pool of a plain service and whether there is one.
func (b *Bundle) PoolForService(service string) (Pool, bool) {
	i := slices.IndexFunc(b.Pools, func(p Pool) bool { return p.Service == service && service != "" })
	if i < 0 {
		return Pool{}, false
	}
	return b.Pools[i], true
}

// MayUse reports whether the team may use the pool.
func (t Team) MayUse(p Pool) bool {
	return len(t.Pools) == 0 || slices.Contains(t.Pools, p.Name)
}

// Models returns the names of the models that the team may use, sorted.
func (b *Bundle) Models(t Team) []string {
	var models []string
	for _, p := range b.Pools {
		if t.MayUse(p) {
			models = append(models, p.Models...)
		}
	}
	slices.Sort(models)
	return models
}

// Repeatable reports whether a request to the pool's service may be retried. The
// route with the longest matching path decides. Without a matching route, only the
// safe HTTP methods GET, HEAD and OPTIONS are repeatable, so that a missing route
// can't cause a non-idempotent request such as a booking to run twice.
func (p Pool) Repeatable(method, path string) bool {
	longestPath, repeatable := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, r := range p.Routes {
		if r.Method == method && strings.HasPrefix(path, r.Path) && len(r.Path) > longestPath {
			longestPath, repeatable = len(r.Path), r.Repeatable
		}
	}
	return repeatable
}
