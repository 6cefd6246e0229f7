package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes a configuration for lookups. It is immutable and safe for concurrent use.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route
	teams    map[string]*Team
	services map[string]*Service
}

// NewTable returns a table for a configuration, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    make(map[string][]*Route),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route for a Host header and a path as sent by the caller, or nil if there is
// none. It ignores the port and the case of the host.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team with an API key, or nil if there is none.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// RequiresKey reports whether requests of routes that aren't public need an API key.
func (t *Table) RequiresKey() bool { return len(t.Config.Teams) > 0 }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceFor returns the service for a request, or "" if no service has a weight. Requests with
// the same key, such as those of a session, go to the same service until the weights change.
func (r *Route) ServiceFor(key string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	position := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Split {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	return ""
}
