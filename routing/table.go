package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a configuration made ready for lookups. It isn't changed once made
// and may be read by many goroutines.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route
	teams    map[string]*Team
	services map[string]*Service
}

// NewTable compiles a configuration.
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

// Match finds the route of a request by its Host header and its path as sent.
// It returns nil if there is none.
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

// Team finds the team that holds a key, nil if none does.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// RequiresKey reports whether requests need a key unless their route is public.
func (t *Table) RequiresKey() bool { return len(t.Config.Teams) > 0 }

// Service finds a service by its name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceFor picks the service of a request. Requests with the same key, such
// as those of a session, go to the same service while the weights stay.
func (r *Route) ServiceFor(key string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
