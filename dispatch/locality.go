package dispatch

// Bytes between failure domains are dear and take longer than those within one. A request is
// therefore placed at an upstream in the domain of the router that received it, unless another
// one is better by more than a penalty.
//
// Nobody is refused because of distance: whether a request is admitted is decided without it, and
// only an upstream that admits the request can replace one in another domain.

// SetLocality sets whether upstreams in the failure domain of a request's router are preferred.
// It has no effect without Features.Locality.
func (c *Core) SetLocality(enabled bool) { c.preferNear = enabled && c.cfg.Locality }

// localCandidate reports whether a candidate may replace a better one in another failure domain.
// If it is full, the request would wait for a running one to finish.
func (c *Core) localCandidate(j *job, candidate choice) bool {
	return candidate.admitted && candidate.u.Domain == j.Domain && !candidate.u.full(j.reservedKV)
}

// preferLocal returns local, the best candidate of the request's failure domain, instead of the
// best one of all if that is in another domain and not better by more than the distance.
func (c *Core) preferLocal(j *job, best, local choice) choice {
	if local.u == nil || !best.admitted || best.u.Domain == j.Domain {
		return best
	}
	distance := c.cfg.DistancePenalty
	if !c.cfg.Engine {
		if local.firstByte-best.firstByte > j.Target/maxDelayDivisor {
			return best
		}
		distance = maxServiceLoadPenalties * c.cfg.LoadPenalty
	}
	if local.score < best.score+distance {
		return local
	}
	return best
}

// maxServiceLoadPenalties is how often LoadPenalty is added to the score of an upstream that is
// always in use and has few free slots. The free slots of a plain service are used before those in
// another domain.
const maxServiceLoadPenalties = 2

// maxDelayDivisor divides a request's target into the delay that is accepted for a plain service
// to be used within the failure domain.
const maxDelayDivisor = 10
