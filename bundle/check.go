package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Bounds of the values in a bundle.
const (
	maxSlots        = 4096
	defaultBody     = 1 << 20
	defaultQueue    = 1000
	maxBundleBytes  = 1 << 20
	maxShare        = 1e6
	minShare        = 1e-3
	keyHashPrefix   = "sha256:"
	keyHashHexChars = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)
	hashPattern = regexp.MustCompile(fmt.Sprintf(`^%s[0-9a-f]{%d}$`, keyHashPrefix, keyHashHexChars))
)

// Parse reads and checks a bundle. The bundle is usable only without findings.
func Parse(file string, raw []byte) (*Bundle, jsonc.Findings) {
	b := &Bundle{}
	doc := jsonc.Decode(file, raw, b)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	c := checker{doc: doc, b: b}
	c.check(len(raw))
	b.Limits.setDefaults()
	return b, doc.Findings()
}

func (l *Limits) setDefaults() {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBody
	}
	if l.QueuePerTeam == 0 {
		l.QueuePerTeam = defaultQueue
	}
}

// checker collects the findings about a bundle's values.
type checker struct {
	doc *jsonc.Document
	b   *Bundle
}

func (c *checker) check(size int) {
	if size > maxBundleBytes {
		c.doc.Add("", "is %d bytes; the platform holds at most %d", size, maxBundleBytes)
	}
	if c.b.Version == 0 {
		c.doc.Add("/version", "must be 1 or more")
	}
	c.teams()
	c.pools()
	c.upstreams()
	c.evacuated()
	c.limits()
}

// evacuated finds failure domains that no upstream is in: an order for a misspelt one would do
// nothing.
func (c *checker) evacuated() {
	seen := unique[string]{}
	for i, domain := range c.b.Evacuated {
		at := fmt.Sprintf("/evacuated/%d", i)
		if !slices.ContainsFunc(c.b.Upstreams, func(u Upstream) bool { return u.FailureDomain == domain }) {
			c.doc.Add(at, "no upstream is in the failure domain %q", domain)
			continue
		}
		c.once(seen, at, domain, "failure domain")
	}
}

func (c *checker) teams() {
	ids, names, keys := unique[int]{}, unique[string]{}, unique[string]{}
	for i, t := range c.b.Teams {
		at := fmt.Sprintf("/teams/%d", i)
		c.id(ids, at, t.ID)
		c.name(names, at, t.Name)
		if !(t.Share >= minShare && t.Share <= maxShare) {
			c.doc.Add(at+"/share", "must be from %g to %g", minShare, maxShare)
		}
		for k, key := range t.Keys {
			c.key(keys, fmt.Sprintf("%s/keys/%d", at, k), key)
		}
		for k, pool := range t.Pools {
			if _, ok := c.b.PoolByName(pool); !ok {
				c.doc.Add(fmt.Sprintf("%s/pools/%d", at, k), "no pool is named %q", pool)
			}
		}
	}
}

func (c *checker) key(seen unique[string], at, key string) {
	if !hashPattern.MatchString(key) {
		c.doc.Add(at, "must be %q and %d hex digits", keyHashPrefix, keyHashHexChars)
		return
	}
	if first, dup := seen.add(key, at); dup {
		c.doc.Add(at, "the same key stands at %s", first)
	}
}

func (c *checker) pools() {
	ids, names := unique[int]{}, unique[string]{}
	models, services := unique[string]{}, unique[string]{}
	for i, p := range c.b.Pools {
		at := fmt.Sprintf("/pools/%d", i)
		c.id(ids, at, p.ID)
		c.name(names, at, p.Name)
		if (len(p.Models) == 0) == (p.Service == "") {
			c.doc.Add(at, "must have either models or a service")
		}
		for k, m := range p.Models {
			c.once(models, fmt.Sprintf("%s/models/%d", at, k), m, "model")
		}
		if p.Service != "" {
			c.once(services, at+"/service", p.Service, "service")
		}
		c.routes(at, p)
	}
}

func (c *checker) routes(at string, p Pool) {
	if p.Service == "" && len(p.Routes) > 0 {
		c.doc.Add(at+"/routes", "only a service has routes")
	}
	for k, r := range p.Routes {
		place := fmt.Sprintf("%s/routes/%d", at, k)
		if r.Method == "" || r.Method != strings.ToUpper(r.Method) {
			c.doc.Add(place+"/method", "must be an HTTP method in capitals")
		}
		if !strings.HasPrefix(r.Path, "/") {
			c.doc.Add(place+"/path", "must begin with /")
		}
	}
}

func (c *checker) upstreams() {
	ids, names, addresses := unique[int]{}, unique[string]{}, unique[string]{}
	for i, u := range c.b.Upstreams {
		at := fmt.Sprintf("/upstreams/%d", i)
		c.id(ids, at, u.ID)
		c.name(names, at, u.Name)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.doc.Add(at+"/address", "must be an IP address and a port, such as 10.0.0.1:8000")
		} else {
			c.once(addresses, at+"/address", u.Address, "address")
		}
		if u.Slots < 1 || u.Slots > maxSlots {
			c.doc.Add(at+"/slots", "must be from 1 to %d", maxSlots)
		}
		c.upstreamKind(at, u)
	}
}

func (c *checker) upstreamKind(at string, u Upstream) {
	if u.Kind != Engine && u.Kind != Service {
		c.doc.Add(at+"/kind", "must be %q or %q", Engine, Service)
		return
	}
	p, ok := c.b.PoolByName(u.Pool)
	if !ok {
		c.doc.Add(at+"/pool", "no pool is named %q", u.Pool)
		return
	}
	if (u.Kind == Service) != (p.Service != "") {
		c.doc.Add(at+"/kind", "pool %q is not for upstreams of kind %q", u.Pool, u.Kind)
	}
	if u.Kind == Service && u.Resumable {
		c.doc.Add(at+"/resumable", "only engines are resumable")
	}
}

func (c *checker) limits() {
	l := c.b.Limits
	if l.BodyBytes < 0 {
		c.doc.Add("/limits/bodyBytes", "must not be negative")
	}
	if l.QueuePerTeam < 0 {
		c.doc.Add("/limits/queuePerTeam", "must not be negative")
	}
}

func (c *checker) id(seen unique[int], at string, id int) {
	if id < 1 {
		c.doc.Add(at+"/id", "must be 1 or more")
		return
	}
	if first, dup := seen.add(id, at+"/id"); dup {
		c.doc.Add(at+"/id", "the same id stands at %s", first)
	}
}

func (c *checker) name(seen unique[string], at, name string) {
	if !namePattern.MatchString(name) {
		c.doc.Add(at+"/name", "must be lower-case letters, digits, dots and hyphens")
		return
	}
	c.once(seen, at+"/name", name, "name")
}

func (c *checker) once(seen unique[string], at, value, what string) {
	if first, dup := seen.add(value, at); dup {
		c.doc.Add(at, "the same %s stands at %s", what, first)
	}
}

// unique remembers where a value stood first.
type unique[K comparable] map[K]string

func (u unique[K]) add(key K, at string) (first string, dup bool) {
	if first, dup = u[key]; dup {
		return first, true
	}
	u[key] = at
	return "", false
}
