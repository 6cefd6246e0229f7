package sched

import "github.com/aspenswitch/aspenswitch/fairness"

// Settings is the part of the bundle that scheduling depends on.
type Settings struct {
	Pools     []int
	Teams     []TeamShare
	Upstreams []Upstream
}

// TeamShare is a team and its share; shares are relative.
type TeamShare struct {
	Team  fairness.TeamID
	Share float64
}

// Upstream is one upstream of a pool.
type Upstream struct {
	ID    int
	Pool  int
	Slots int
	// Draining upstreams get no new requests; their running requests continue to
	// the end.
	Draining bool
}
