package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
)

const (
	// crashingPartPrefix begins the hexadecimal IDs of parts that crash upstreams. No other part's
	// ID begins with it.
	crashingPartPrefix = "bad"
	// firstPart is the first part of all prompts of ordinary requests.
	firstPart = "5c1e"
	// subjects is the number of second parts of ordinary requests.
	subjects = 5
	// meanPartInterval is the mean time between two requests with a crashing part.
	meanPartInterval = 100 * time.Millisecond
)

// sharedParts returns the parts that the prompt of an ordinary request shares with others.
func (c *caller) sharedParts() string {
	return fmt.Sprintf("%s,a%d", firstPart, c.rnd.IntN(subjects))
}

// crashingPartID returns the ID of the part that a fault's requests have.
func crashingPartID(f Fault) string {
	return fmt.Sprintf("%s%x", crashingPartPrefix, f.At.Milliseconds()<<16|int64(f.Variant))
}

// partsWith returns the parts of a prompt with a crashing part, which stands first, in the middle
// or last but one.
func (c *caller) partsWith(part string, position int) string {
	own := fmt.Sprintf("%x%x", c.number+1, c.sent)
	switch position % 3 {
	case 0:
		return fmt.Sprintf("%s,a%d,%s", part, c.rnd.IntN(subjects), own)
	case 1:
		return fmt.Sprintf("%s,%s,a%d,%s", firstPart, part, c.rnd.IntN(subjects), own)
	}
	return c.sharedParts() + "," + part + "," + own
}

// sendRequestsWithPart sends requests with a crashing part until the fault ends, each on a new
// connection and to a router picked by the balancer. They don't wait for each other.
func (d *deployment) sendRequestsWithPart(f Fault) {
	part := crashingPartID(f)
	rnd := rand.New(rand.NewPCG(uint64(f.Variant), uint64(f.At)))
	for n, until := 0, d.rec.Now()+f.ActiveFor; d.rec.Now() < until; n++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(meanPartInterval)))
		c := &caller{number: 1000 + f.Variant, sent: n, rnd: rand.New(rand.NewPCG(uint64(n), uint64(f.At))), lb: d.lb, op: d.op, rec: d.rec}
		if !c.connect() {
			continue
		}
		go func() {
			defer c.closeConn()
			c.send(Request{
				ID: fmt.Sprintf("p%s-%d", part, n), Kind: CrashingPart, Prefix: prefixes[CrashingPart], Key: fixedKey,
				Parts: c.partsWith(part, f.Variant), Router: c.router.number, Incarnation: c.incarnation,
			})
		}()
	}
}

// crashOnPart reports whether a request's prompt has a part that crashes the upstream, not counting
// the last one. If so, it records the crash and restarts the upstream as another incarnation.
func (e *endpoint) crashOnPart(id string, r *http.Request) bool {
	list := strings.Split(r.Header.Get(platform.HTTPHeaders().Parts), ",")
	for _, entry := range list[:len(list)-1] {
		if part, _, _ := strings.Cut(entry, ":"); strings.HasPrefix(part, crashingPartPrefix) {
			e.recordCrash(id, Crash{URI: r.RequestURI, Part: part, Upstream: id})
			return true
		}
	}
	return false
}
