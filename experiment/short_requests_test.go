package experiment

import (
	"testing"
	"time"
)

// Guards against routers that request slots only once. Requests are as short as the age of a few
// reports, so routers continually run out of slots and get slots from others. A router that didn't
// ask again for its remaining waiting requests after new slots arrived left them waiting while
// slots were idle.
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
