package bundle

import (
	"slices"
	"strings"
)

// Bundle is one version of the fleet's settings.
type Bundle struct {
	// Version only grows; going back is a new version with old content.
	Version   uint64     `json:"version"`
	Teams     []Team     `json:"teams"`
	Pools     []Pool     `json:"pools"`
	Upstreams []Upstream `json:"upstreams"`
	// Evacuated are failure domains whose upstreams get no new work.
	Evacuated []string `json:"evacuated,omitempty"`
	Limits    Limits   `json:"limits"`
}

// Team is who the fleet serves.
type Team struct {
	// ID is the team's number between routers; it is never used for another team.
	ID   int    `json:"id"`
	Name string `json:"name"`
	// Share is what the team is owed, relative to the other teams' shares.
	Share float64 `json:"share"`
	// Keys are hashes of the team's bearer keys: "sha256:" and 64 hex digits.
	Keys []string `json:"keys"`
	// Pools are the names of the pools that the team may use; empty for all.
	Pools []string `json:"pools"`
}

// Pool is a set of upstreams that serve the same models or services.
type Pool struct {
	ID   int    `json:"id"`
	Name string `json:"name"`
	// Models are served by every engine of the pool.
	Models []string `json:"models"`
	// Service is the name of a plain service, with its routes.
	Service string  `json:"service"`
	Routes  []Route `json:"routes"`
}

// Route says how requests of a plain service are to be treated.
type Route struct {
	Method string `json:"method"`
	// Path is a prefix of the path below the service.
	Path string `json:"path"`
	// Repeatable requests are idempotent: they may be sent again after a failure.
	Repeatable bool `json:"repeatable"`
}

// Kind is what an upstream is.
type Kind string

// The kinds of upstream.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Upstream is one model engine or plain service.
type Upstream struct {
	// ID is the upstream's number between routers; it is never used for another.
	ID   int    `json:"id"`
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	Pool string `json:"pool"`
	// Address is an IP address and port.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the most requests that the upstream serves at once.
	Slots int `json:"slots"`
	// Resumable engines continue a broken stream from a given event.
	Resumable bool `json:"resumable"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving"`
}

// Limits bound what callers may ask.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"bodyBytes"`
	// QueuePerTeam is how many requests of a team may wait at one router.
	QueuePerTeam int `json:"queuePerTeam"`
}

// Schedulable reports whether an upstream of the bundle gets new work.
func (b *Bundle) Schedulable(u Upstream) bool {
	return !u.Leaving && !slices.Contains(b.Evacuated, u.FailureDomain)
}

// PoolByName returns the pool with the name.
func (b *Bundle) PoolByName(name string) (Pool, bool) {
	i := slices.IndexFunc(b.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return b.Pools[i], true
}

// PoolForModel returns the pool that serves a model.
func (b *Bundle) PoolForModel(model string) (Pool, bool) {
	i := slices.IndexFunc(b.Pools, func(p Pool) bool { return slices.Contains(p.Models, model) })
	if i < 0 {
		return Pool{}, false
	}
	return b.Pools[i], true
}

// PoolForService returns the pool of a plain service.
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

// Models returns the models that the team may use, sorted.
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

// Repeatable reports whether a request to the pool's service may be sent again.
// The longest matching route decides; without one, only methods that HTTP calls
// safe are repeatable, so that a forgotten route can't double a booking.
func (p Pool) Repeatable(method, path string) bool {
	longest, repeatable := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, r := range p.Routes {
		if r.Method == method && strings.HasPrefix(path, r.Path) && len(r.Path) > longest {
			longest, repeatable = len(r.Path), r.Repeatable
		}
	}
	return repeatable
}
