package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouterStatus summarizes the state of one router.
type RouterStatus struct {
	Router        string `json:"router"`
	FailureDomain string `json:"failureDomain"`
	// Role is the router's role in the fleet.
	Role Role `json:"role"`
	// State is "ready", "not ready" or "leaving", or empty if the router didn't answer.
	State string `json:"state"`
	// Version is the version of the configuration in force.
	Version string `json:"version"`
	// Peers is the number of routers from which the router receives messages: the members
	// of a platform router, or the live routers of a bundle router. The latter include the
	// router itself unless it is leaving.
	Peers   int `json:"peers"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// ViewAge is the time since the configuration was last confirmed.
	ViewAge time.Duration `json:"viewAgeNanos"`
	// Evacuated lists the failure domains that are evacuated in the router's configuration.
	// Warming is the number of upstreams that are warming up in the groups whose home it is.
	Evacuated []string `json:"evacuated,omitempty"`
	Warming   int      `json:"warming"`
	// Epoch is that of the router's state; it rises each time the platform is restored from a copy.
	Epoch int64 `json:"epoch"`
	// Software lists the software versions of the upstreams in the router's state.
	Software []SoftwareVersion `json:"software,omitempty"`
	// Quarantine lists the contents and parts in quarantine at the router.
	Quarantine []QuarantinedKey `json:"quarantine,omitempty"`
	// OutOfLoadBalancer is set if the router has left the load balancer because it was overloaded.
	// Entry describes that, or an overload with which it may not leave.
	OutOfLoadBalancer bool   `json:"outOfLoadBalancer,omitempty"`
	Entry             string `json:"entry,omitempty"`
	// Error is the error of querying the router, empty if it answered.
	Error string `json:"error,omitempty"`
}

// SoftwareVersion is the number of a service's upstreams with one version of their software.
type SoftwareVersion struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Registered int    `json:"registered"`
	Ready      int    `json:"ready"`
}

// Role is the role of a router in the fleet.
type Role string

// Roles of routers.
const (
	// RoleHub exchanges heartbeats with the others often and decides for groups of upstreams.
	RoleHub Role = "hub"
	// RoleReader reads the platform on behalf of its failure domain.
	RoleReader Role = "reader"
	// RoleRouter only serves callers' requests.
	RoleRouter Role = "router"
)

// Overview summarizes the state of a fleet.
type Overview struct {
	// Evacuated lists the failure domains that most routers report as evacuated. Warming is
	// the number of upstreams that are warming up.
	Evacuated []string `json:"evacuated"`
	Warming   int      `json:"warming"`
	// Software lists the software versions of the upstreams as a router with the most common
	// configuration has them. Epoch is the highest one of all routers.
	Software []SoftwareVersion `json:"software,omitempty"`
	Epoch    int64             `json:"epoch"`
	// Quarantine lists the contents and parts in quarantine at any router.
	Quarantine []Quarantined  `json:"quarantine,omitempty"`
	Summary    []Summary      `json:"summary"`
	Outliers   []Outlier      `json:"outliers"`
	Routers    []RouterStatus `json:"routers"`
}

// Summary aggregates the routers of a failure domain that have the same role.
type Summary struct {
	FailureDomain string `json:"failureDomain"`
	Role          Role   `json:"role"`
	Routers       int    `json:"routers"`
	Ready         int    `json:"ready"`
	Waiting       int    `json:"waiting"`
	Running       int    `json:"running"`
}

// Outlier is a router that differs from the others, with the reasons.
type Outlier struct {
	RouterStatus
	Reasons []string `json:"reasons"`
}

const (
	// minPeerRatio is the fraction of the median number of peers below which a router counts
	// as cut off from others.
	minPeerRatio = 0.9
	// maxViewAge is the age above which a configuration counts as outdated. Peers confirm it
	// several times a second.
	maxViewAge = time.Second
	// A router is an outlier if its waiting requests exceed waitingOutlierFactor times the
	// mean and are at least minOutlierWaiting.
	waitingOutlierFactor, minOutlierWaiting = 5, 20
)

// newOverview aggregates the states of routers.
func newOverview(routers []RouterStatus) Overview {
	o := Overview{Routers: routers, Evacuated: mostCommonEvacuated(routers), Quarantine: quarantinedKeys(routers)}
	version, peers, waiting := typicalValues(routers)
	for _, r := range routers {
		o.Epoch = max(o.Epoch, r.Epoch)
	}
	sums := map[[2]string]*Summary{}
	for _, r := range routers {
		o.Warming += r.Warming
		reasons := r.outlierReasons(version, peers, waiting)
		if r.Error == "" && !slices.Equal(r.Evacuated, o.Evacuated) {
			reasons = append(reasons, fmt.Sprintf("reports [%s] as evacuated, most routers report [%s]", strings.Join(r.Evacuated, " "), strings.Join(o.Evacuated, " ")))
		}
		if r.Error == "" && r.Epoch < o.Epoch {
			reasons = append(reasons, fmt.Sprintf("its state is of epoch %d, before the platform's restore from a copy", r.Epoch))
		} else if r.Error == "" && o.Software == nil && r.Version == version {
			o.Software = r.Software
		}
		if len(reasons) > 0 {
			o.Outliers = append(o.Outliers, Outlier{RouterStatus: r, Reasons: reasons})
		}
		if r.Error != "" {
			continue
		}
		key := [2]string{r.FailureDomain, string(r.Role)}
		s := sums[key]
		if s == nil {
			s = &Summary{FailureDomain: r.FailureDomain, Role: r.Role}
			sums[key] = s
		}
		s.add(&r)
	}
	for _, s := range sums {
		o.Summary = append(o.Summary, *s)
	}
	slices.SortFunc(o.Summary, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Role, b.Role))
	})
	slices.SortStableFunc(o.Outliers, func(a, b Outlier) int { return cmp.Compare(len(b.Reasons), len(a.Reasons)) })
	return o
}

func (s *Summary) add(r *RouterStatus) {
	s.Routers++
	if r.State == stateReady {
		s.Ready++
	}
	s.Waiting += r.Waiting
	s.Running += r.Running
}

// typicalValues returns the most common version, the median number of peers and the mean
// number of waiting requests of the routers that answered.
func typicalValues(routers []RouterStatus) (version string, peers int, waiting float64) {
	versions := map[string]int{}
	var peerCounts []int
	for _, r := range routers {
		if r.Error != "" {
			continue
		}
		versions[r.Version]++
		peerCounts = append(peerCounts, r.Peers)
		waiting += float64(r.Waiting)
	}
	if len(peerCounts) == 0 {
		return "", 0, 0
	}
	for v, n := range versions {
		if n > versions[version] || n == versions[version] && v > version {
			version = v
		}
	}
	slices.Sort(peerCounts)
	return version, peerCounts[len(peerCounts)/2], waiting / float64(len(peerCounts))
}

// mostCommonEvacuated returns the most common list of evacuated failure domains.
func mostCommonEvacuated(routers []RouterStatus) []string {
	votes := map[string]int{}
	mostCommon, answered := "", 0
	for _, r := range routers {
		if r.Error != "" {
			continue
		}
		answered++
		list := strings.Join(r.Evacuated, "\n")
		if votes[list]++; votes[list] > votes[mostCommon] {
			mostCommon = list
		}
	}
	if answered == 0 || mostCommon == "" {
		return nil
	}
	return strings.Split(mostCommon, "\n")
}

// outlierReasons returns the differences between a router and the typical values.
func (r *RouterStatus) outlierReasons(version string, peers int, waiting float64) (reasons []string) {
	addIf := func(condition bool, format string, args ...any) {
		if condition {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	if r.Error != "" {
		return []string{"no answer: " + r.Error}
	}
	addIf(r.State != stateReady && !r.OutOfLoadBalancer, "%s", r.State)
	addIf(r.Entry != "", "%s", r.Entry)
	addIf(r.Version != version, "version %s, most routers have %s", r.Version, version)
	addIf(float64(r.Peers) < minPeerRatio*float64(peers), "receives messages from %d peers, the median is %d", r.Peers, peers)
	addIf(r.ViewAge > maxViewAge, "configuration confirmed %s ago", r.ViewAge)
	addIf(r.Waiting >= minOutlierWaiting && float64(r.Waiting) > waitingOutlierFactor*waiting, "%d requests waiting, the mean is %.1f", r.Waiting, waiting)
	return reasons
}

// unanswered returns the number of routers that didn't answer.
func (o *Overview) unanswered() int {
	n := 0
	for _, r := range o.Routers {
		if r.Error != "" {
			n++
		}
	}
	return n
}
