package fleet

import (
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
)

// localServices has the services whose failure domains are large enough to serve the requests that
// arrive in them: sessions would evict each other from the caches of a small domain, and few
// upstreams don't level out bursts. The zero value is empty.
//
// A service is added once each of its domains has minDomainSize upstreams and removed once one has
// less than half of that, so that it isn't removed whenever some upstreams crash and restart.
// Domains without any upstream that accepts requests, for instance evacuated ones, don't count.
type localServices struct {
	// snapshot is the state that the services were last updated from.
	snapshot *feed.Snapshot
	services map[string]bool
}

// minDomainSize is the number of upstreams that each failure domain needs: half of a usual group.
const minDomainSize = 16

// update returns whether the failure domains of a service are large enough.
func (l *localServices) update(s *feed.Snapshot, service string) bool {
	if l.snapshot == s {
		return l.services[service]
	}
	previous := l.services
	l.snapshot, l.services = s, map[string]bool{}
	for i := range s.Table.Config.Services {
		name := s.Table.Config.Services[i].Name
		l.services[name] = largeDomains(s.View.Ready(name), previous[name])
	}
	return l.services[service]
}

// largeDomains reports whether the upstreams are in at least two failure domains, each of which is
// large enough. before is the result for the previous state.
func largeDomains(upstreams []*registry.Upstream, before bool) bool {
	required := minDomainSize
	if before {
		required = minDomainSize / 2
	}
	sizes := map[string]int{}
	for _, u := range upstreams {
		sizes[u.FailureDomain]++
	}
	for _, size := range sizes {
		if size < required {
			return false
		}
	}
	return len(sizes) > 1
}
