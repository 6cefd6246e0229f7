package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouterStatus is one router's state in a line.
type RouterStatus struct {
	Router        string `json:"router"`
	FailureDomain string `json:"failureDomain"`
	// Role is what it does for others.
	Role Role `json:"role"`
	// State is ready, not ready or leaving; empty if it didn't answer.
	State string `json:"state"`
	// Version of the configuration in force.
	Version string `json:"version"`
	// Peers are the routers that it hears, itself not counted.
	Peers   int `json:"peers"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// ViewAge is how long ago the configuration was confirmed.
	ViewAge time.Duration `json:"viewAgeNanos"`
	// Evacuated are the failure domains that it takes for evacuated; Warming is the number of
	// upstreams that are warming up in the groups for which it decides.
	Evacuated []string `json:"evacuated,omitempty"`
	Warming   int      `json:"warming"`
	// Error is why it didn't answer, empty if it did.
	Error string `json:"error,omitempty"`
}

// Role is what a router does for others.
type Role string

// Roles of routers.
const (
	// RoleHub is one of those that others hear often, and that decide for upstreams.
	RoleHub Role = "hub"
	// RoleReader reads the platform for its failure domain.
	RoleReader Role = "reader"
	// RoleRouter takes callers' requests only.
	RoleRouter Role = "router"
)

// Overview is the state of a fleet.
type Overview struct {
	// Evacuated are the failure domains that most routers take for evacuated, Warming the
	// upstreams that are warming up.
	Evacuated []string       `json:"evacuated"`
	Warming   int            `json:"warming"`
	Summary   []Summary      `json:"summary"`
	Outliers  []Outlier      `json:"outliers"`
	Routers   []RouterStatus `json:"routers"`
}

// Summary counts the routers of a failure domain that have the same role.
type Summary struct {
	FailureDomain string `json:"failureDomain"`
	Role          Role   `json:"role"`
	Routers       int    `json:"routers"`
	Ready         int    `json:"ready"`
	Waiting       int    `json:"waiting"`
	Running       int    `json:"running"`
}

// Outlier is a router that differs from the others.
type Outlier struct {
	RouterStatus
	Reasons []string `json:"reasons"`
}

const (
	// fewPeers is the part of the usual number of peers below which a router counts as cut
	// off from others.
	fewPeers = 0.9
	// oldView is the age of a configuration that peers renew several times a second.
	oldView = time.Second
	// manyWaiting is how many times the mean a router must have waiting to be told, and
	// leastWaiting the number below which it isn't.
	manyWaiting, leastWaiting = 5, 20
)

// newOverview sums up routers' states.
func newOverview(routers []RouterStatus) Overview {
	o := Overview{Routers: routers, Evacuated: usualEvacuated(routers)}
	version, peers, waiting := usual(routers)
	sums := map[[2]string]*Summary{}
	for _, r := range routers {
		o.Warming += r.Warming
		reasons := r.differs(version, peers, waiting)
		if r.Error == "" && !slices.Equal(r.Evacuated, o.Evacuated) {
			reasons = append(reasons, fmt.Sprintf("takes [%s] for evacuated where most take [%s]", strings.Join(r.Evacuated, " "), strings.Join(o.Evacuated, " ")))
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

// usual returns the version that most routers have, the median of their peers and the mean
// of their waiting requests.
func usual(routers []RouterStatus) (version string, peers int, waiting float64) {
	versions := map[string]int{}
	var heard []int
	for _, r := range routers {
		if r.Error != "" {
			continue
		}
		versions[r.Version]++
		heard = append(heard, r.Peers)
		waiting += float64(r.Waiting)
	}
	if len(heard) == 0 {
		return "", 0, 0
	}
	for v, n := range versions {
		if n > versions[version] || n == versions[version] && v > version {
			version = v
		}
	}
	slices.Sort(heard)
	return version, heard[len(heard)/2], waiting / float64(len(heard))
}

// usualEvacuated returns the failure domains that most routers take for evacuated.
func usualEvacuated(routers []RouterStatus) []string {
	votes := map[string]int{}
	usual, answered := "", 0
	for _, r := range routers {
		if r.Error != "" {
			continue
		}
		answered++
		list := strings.Join(r.Evacuated, "\n")
		if votes[list]++; votes[list] > votes[usual] {
			usual = list
		}
	}
	if answered == 0 || usual == "" {
		return nil
	}
	return strings.Split(usual, "\n")
}

// differs tells in what a router differs from the others.
func (r *RouterStatus) differs(version string, peers int, waiting float64) (reasons []string) {
	note := func(is bool, format string, args ...any) {
		if is {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	if r.Error != "" {
		return []string{"no answer: " + r.Error}
	}
	note(r.State != stateReady, "%s", r.State)
	note(r.Version != version, "version %s where most have %s", r.Version, version)
	note(float64(r.Peers) < fewPeers*float64(peers), "hears %d peers where others hear %d", r.Peers, peers)
	note(r.ViewAge > oldView, "configuration confirmed %s ago", r.ViewAge)
	note(r.Waiting >= leastWaiting && float64(r.Waiting) > manyWaiting*waiting, "%d requests wait, %.1f in the mean", r.Waiting, waiting)
	return reasons
}

// missing is the number of routers that didn't answer.
func (o *Overview) missing() int {
	n := 0
	for _, r := range o.Routers {
		if r.Error != "" {
			n++
		}
	}
	return n
}
