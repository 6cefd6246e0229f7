package dispatch

import "time"

// Bytes between failure domains are dear and take longer than those within one. A request is
// therefore placed at an upstream in the domain of the router that received it, unless another
// one is better by more than a distance.
//
// Nobody is refused because of distance: whether a request is admitted is decided without it, and
// only an upstream that admits the request can replace one in another domain.
//
// A domain gets its own copy of a session's parts once its requests for the session add up to the
// work of copying them (a rent-or-buy decision; Karlin, Manasse, Rudolph and Sleator 1988). The
// copy uses up these requests, so that copies that are soon evicted don't recur with each request.

// locality is the state of a core's preference for the domains of requests.
type locality struct {
	enabled bool
	demand  domainDemand
	domains []domainCopies
}

// domainCopies is the time that the engines of a failure domain take to copy parts of sessions
// for their domain.
type domainCopies struct {
	domain    string
	upstreams int
	took      decayingSum
}

const (
	// copyWindow is the window over which copies for a domain are limited, and maxCopyFraction
	// the fraction of its engines' time that they may take. When a domain returns after a
	// failure, all of its sessions would otherwise be copied at the same moment.
	copyWindow      = time.Second
	maxCopyFraction = 0.1
	// maxUtilizationExcess is the difference in utilization from which on there is no distance.
	maxUtilizationExcess = 0.5
	// maxServiceLoadPenalties is how often LoadPenalty is added to the score of an upstream that
	// is always in use and has few free slots. The free slots of a plain service are used before
	// those in another domain.
	maxServiceLoadPenalties = 2
	// maxDelayDivisor divides a request's target into the delay that is accepted for a plain
	// service to be used within the failure domain.
	maxDelayDivisor = 10
)

// SetLocality sets whether upstreams in the failure domain of a request's router are preferred.
// It has no effect without Features.Locality.
func (c *Core) SetLocality(enabled bool) { c.locality.enabled = enabled && c.cfg.Locality }

// prefersNear reports whether a request is placed by failure domains.
func (c *Core) prefersNear(j *job) bool { return c.locality.enabled && j.Domain != "" }

// setMembers counts the upstreams of each failure domain.
func (l *locality) setMembers(members []Member) {
	previous := l.domains
	l.domains = nil
	for _, m := range members {
		d := l.find(m.Domain)
		if d == nil {
			l.domains = append(l.domains, domainCopies{domain: m.Domain})
			d = &l.domains[len(l.domains)-1]
			for _, p := range previous {
				if p.domain == m.Domain {
					d.took = p.took
				}
			}
		}
		d.upstreams++
	}
}

// find returns the state of a failure domain, nil if it has no upstreams.
func (l *locality) find(domain string) *domainCopies {
	for i := range l.domains {
		if l.domains[i].domain == domain {
			return &l.domains[i]
		}
	}
	return nil
}

// exhausted reports whether the domain's engines spend as much time on copies as they may.
func (d *domainCopies) exhausted(now time.Duration) bool {
	limit := maxCopyFraction * float64(d.upstreams) * float64(copyWindow)
	return d.took.value(now, copyWindow) >= limit
}

// localCandidate reports whether a candidate may replace a better one in another failure domain.
// If it is full, the request would wait for a running one to finish.
func (c *Core) localCandidate(j *job, candidate choice) bool {
	return candidate.admitted && candidate.u.Domain == j.Domain && !candidate.u.full(j.reservedKV)
}

// preferLocal returns local, the best candidate of the request's failure domain, instead of the
// best one of all if that is in another domain and not better by more than the distance.
func (c *Core) preferLocal(now time.Duration, j *job, best, local choice) choice {
	if local.u == nil || !best.admitted || best.u.Domain == j.Domain {
		return best
	}
	distance := c.distance(j, best.u, local.u)
	if !c.cfg.Engine && local.firstByte-best.firstByte > j.Target/maxDelayDivisor {
		return best
	}
	if local.copied = c.extraWork(j, best, local); local.copied > 0 {
		if !c.justifiesCopy(now, j, local.copied) {
			return best
		}
		distance += time.Duration((1 + c.cfg.RecomputeWeight) * float64(local.copied))
	}
	if local.score < best.score+distance {
		return local
	}
	return best
}

// distance returns what an upstream in another failure domain has to be better by. It falls with
// the utilization that engines of a loaded domain have beyond those of others: they are slower for
// all of their streams.
func (c *Core) distance(j *job, far, local *upstream) time.Duration {
	if !c.cfg.Engine {
		return maxServiceLoadPenalties * c.cfg.LoadPenalty
	}
	left := min(1-(local.utilization-far.utilization)/maxUtilizationExcess, 1)
	return time.Duration(max(left, 0) * c.cfg.DistanceFraction * float64(max(j.Target, 0)))
}

// extraWork returns how much longer an engine takes because it has fewer of the parts cached than
// another one: the time to copy or to prefill them.
func (c *Core) extraWork(j *job, best, local choice) time.Duration {
	if !c.cfg.Engine {
		return 0
	}
	cached := best.u.cache.cachedPrefix(j.Parts)
	if local.u.cache.cachedPrefix(j.Parts) >= cached {
		return 0
	}
	return local.plan.cost - local.u.cost(&j.Request, cached, 0)
}

// justifiesCopy reports whether the domain's recent requests for the session, with this one, save at
// least the work of copying the session's parts.
func (c *Core) justifiesCopy(now time.Duration, j *job, work time.Duration) bool {
	if work > c.cfg.MaxRecompute || c.locality.find(j.Domain).exhausted(now) {
		return false
	}
	requests := 1 + c.locality.demand.requests(now, demandKey(&j.Request))
	return float64(work) <= requests*float64(c.cfg.DistanceWork)
}

// recordDomainDemand records a request that is placed, and the work that it causes to keep a
// session within its failure domain.
func (c *Core) recordDomainDemand(now time.Duration, j *job, placed choice) {
	paid := 0.0
	if placed.copied > 0 {
		c.counts.CopiedForDomain++
		c.locality.find(j.Domain).took.add(now, copyWindow, float64(placed.copied))
		paid = float64(placed.copied) / float64(c.cfg.DistanceWork)
	}
	if key := demandKey(&j.Request); key != 0 {
		c.locality.demand.add(now, key, 1-paid)
	}
}

// countDistance counts a request that is sent by whether it leaves its failure domain.
func (c *Core) countDistance(j *job, u *upstream) {
	switch {
	case j.Domain == "" || u.Domain == "":
	case j.Domain == u.Domain:
		c.counts.Near++
	default:
		c.counts.Far++
	}
}
