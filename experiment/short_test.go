package experiment

import (
	"testing"
	"time"
)

// Requests are as short as a few reports' age, and routers run out of slots and
// get others' all the time. What still waits after slots came must be asked for
// anew: a router that asked once and thought that was enough left its requests
// beside idle slots.
func TestShortRequestsLeaveFewSlotsIdle(t *testing.T) {
	load := func(seed uint64) Load {
		return Load{
			Name: "short", Seed: seed, Routers: 3, Upstreams: 4, SlotsPerUpstream: 4,
			Teams: []Team{
				{Share: 4, Demand: 0.92, Router: -1},
				{Share: 1, Demand: 0.21, Router: 1},
				{Share: 2, Demand: 0.92, Router: -1},
			},
			MeanCost: 0.14, Sigma: 0.1, Duration: 20 * time.Second, OneWay: 50 * time.Microsecond,
		}
	}
	if o := RunSeeds(load, 4, Fleet(nil)); o.Utilisation < 0.983 {
		t.Fatalf("utilisation %g while work waits", o.Utilisation)
	}
}
