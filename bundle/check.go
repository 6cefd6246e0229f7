package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Bounds and defaults of the values in a bundle.
const (
	maxSlots            = 4096
	defaultBodyBytes    = 1 << 20
	defaultQueuePerTeam = 1000
	maxBundleBytes      = 1 << 20
	maxShare            = 1e6
	minShare            = 1e-3
	keyHashPrefix       = "sha256:"
	keyHashHexChars     = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)
	hashPattern = regexp.MustCompile(fmt.Sprintf(`^%s[0-9a-f]{%d}$`, keyHashPrefix, keyHashHexChars))
)

// Parse decodes and validates a bundle; file is the name used in findings. The
// bundle must be used only if there are no findings.
func Parse(file string, raw []byte) (*Bundle, jsonc.Findings) {
	b := &Bundle{}
	doc := jsonc.Decode(file, raw, b)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	c := checker{doc: doc, bundle: b}
	c.check(len(raw))
	b.Limits.setDefaults()
	return b, doc.Findings()
}

func (l *Limits) setDefaults() {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.QueuePerTeam == 0 {
		l.QueuePerTeam = defaultQueuePerTeam
	}
}

// checker validates a bundle's values and adds findings to doc.
type checker struct {
	doc    *jsonc.Document
	bundle *Bundle
}

func (c *checker) check(size int) {
	if size > maxBundleBytes {
		c.doc.Add("", "is %d bytes; the platform stores at most %d", size, maxBundleBytes)
	}
	if c.bundle.Version == 0 {
		c.doc.Add("/version", "must be 1 or more")
	}
	c.checkTeams()
	c.checkPools()
	c.checkUpstreams()
	c.checkEvacuated()
	c.checkLimits()
}

// checkEvacuated reports evacuated failure domains that have no upstream, because
// evacuating a misspelt domain would have no effect.
func (c *checker) checkEvacuated() {
	seen := firstPaths[string]{}
	for i, domain := range c.bundle.Evacuated {
		path := fmt.Sprintf("/evacuated/%d", i)
		if !slices.ContainsFunc(c.bundle.Upstreams, func(u Upstream) bool { return u.FailureDomain == domain }) {
			c.doc.Add(path, "no upstream is in the failure domain %q", domain)
			continue
		}
		c.checkUnique(seen, path, domain, "failure domain")
	}
}

func (c *checker) checkTeams() {
	ids, names, keys := firstPaths[int]{}, firstPaths[string]{}, firstPaths[string]{}
	for i, t := range c.bundle.Teams {
		path := fmt.Sprintf("/teams/%d", i)
		c.checkID(ids, path, t.ID)
		c.checkName(names, path, t.Name)
		if !(t.Share >= minShare && t.Share <= maxShare) {
			c.doc.Add(path+"/share", "must be from %g to %g", minShare, maxShare)
		}
		for k, key := range t.Keys {
			c.checkKey(keys, fmt.Sprintf("%s/keys/%d", path, k), key)
		}
		for k, pool := range t.Pools {
			if _, ok := c.bundle.PoolByName(pool); !ok {
				c.doc.Add(fmt.Sprintf("%s/pools/%d", path, k), "no pool is named %q", pool)
			}
		}
	}
}

func (c *checker) checkKey(seen firstPaths[string], path, key string) {
	if !hashPattern.MatchString(key) {
		c.doc.Add(path, "must be %q followed by %d hex digits", keyHashPrefix, keyHashHexChars)
		return
	}
	if first, dup := seen.add(key, path); dup {
		c.doc.Add(path, "duplicate key, first used at %s", first)
	}
}

func (c *checker) checkPools() {
	ids, names := firstPaths[int]{}, firstPaths[string]{}
	models, services := firstPaths[string]{}, firstPaths[string]{}
	for i, p := range c.bundle.Pools {
		path := fmt.Sprintf("/pools/%d", i)
		c.checkID(ids, path, p.ID)
		c.checkName(names, path, p.Name)
		if (len(p.Models) == 0) == (p.Service == "") {
			c.doc.Add(path, "must have either models or a service")
		}
		for k, m := range p.Models {
			c.checkUnique(models, fmt.Sprintf("%s/models/%d", path, k), m, "model")
		}
		if p.Service != "" {
			c.checkUnique(services, path+"/service", p.Service, "service")
		}
		c.checkRoutes(path, p)
	}
}

func (c *checker) checkRoutes(path string, p Pool) {
	if p.Service == "" && len(p.Routes) > 0 {
		c.doc.Add(path+"/routes", "only a service has routes")
	}
	for k, r := range p.Routes {
		routePath := fmt.Sprintf("%s/routes/%d", path, k)
		if r.Method == "" || r.Method != strings.ToUpper(r.Method) {
			c.doc.Add(routePath+"/method", "must be an HTTP method in upper case")
		}
		if !strings.HasPrefix(r.Path, "/") {
			c.doc.Add(routePath+"/path", "must begin with /")
		}
	}
}

func (c *checker) checkUpstreams() {
	ids, names, addresses := firstPaths[int]{}, firstPaths[string]{}, firstPaths[string]{}
	for i, u := range c.bundle.Upstreams {
		path := fmt.Sprintf("/upstreams/%d", i)
		c.checkID(ids, path, u.ID)
		c.checkName(names, path, u.Name)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.doc.Add(path+"/address", "must be an IP address and a port, such as 10.0.0.1:8000")
		} else {
			c.checkUnique(addresses, path+"/address", u.Address, "address")
		}
		if u.Slots < 1 || u.Slots > maxSlots {
			c.doc.Add(path+"/slots", "must be from 1 to %d", maxSlots)
		}
		c.checkUpstreamKind(path, u)
	}
}

func (c *checker) checkUpstreamKind(path string, u Upstream) {
	if u.Kind != Engine && u.Kind != Service {
		c.doc.Add(path+"/kind", "must be %q or %q", Engine, Service)
		return
	}
	p, ok := c.bundle.PoolByName(u.Pool)
	if !ok {
		c.doc.Add(path+"/pool", "no pool is named %q", u.Pool)
		return
	}
	if (u.Kind == Service) != (p.Service != "") {
		c.doc.Add(path+"/kind", "pool %q is not for upstreams of kind %q", u.Pool, u.Kind)
	}
	if u.Kind == Service && u.Resumable {
		c.doc.Add(path+"/resumable", "only engines are resumable")
	}
}

func (c *checker) checkLimits() {
	l := c.bundle.Limits
	if l.BodyBytes < 0 {
		c.doc.Add("/limits/bodyBytes", "must not be negative")
	}
	if l.QueuePerTeam < 0 {
		c.doc.Add("/limits/queuePerTeam", "must not be negative")
	}
}

func (c *checker) checkID(seen firstPaths[int], path string, id int) {
	if id < 1 {
		c.doc.Add(path+"/id", "must be 1 or more")
		return
	}
	if first, dup := seen.add(id, path+"/id"); dup {
		c.doc.Add(path+"/id", "duplicate id, first used at %s", first)
	}
}

func (c *checker) checkName(seen firstPaths[string], path, name string) {
	if !namePattern.MatchString(name) {
		c.doc.Add(path+"/name", "must be lower-case letters, digits, dots and hyphens")
		return
	}
	c.checkUnique(seen, path+"/name", name, "name")
}

func (c *checker) checkUnique(seen firstPaths[string], path, value, kind string) {
	if first, dup := seen.add(value, path); dup {
		c.doc.Add(path, "duplicate %s, first used at %s", kind, first)
	}
}

// firstPaths maps a value to the path of its first use.
type firstPaths[K comparable] map[K]string

func (f firstPaths[K]) add(key K, path string) (first string, dup bool) {
	if first, dup = f[key]; dup {
		return first, true
	}
	f[key] = path
	return "", false
}
