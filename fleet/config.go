package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// Config configures a Node.
type Config struct {
	// IP and Port are the address at which the router receives datagrams and
	// connections of its peers. All routers use the same port.
	IP   string
	Port int
	// Domain is the failure domain.
	Domain string
	// Weight is the VM's processor share, in cores. Stronger VMs are the homes of more
	// groups.
	Weight float64
	// Seeds are IPs of routers that may be up.
	Seeds []string
	// HeartbeatInterval is the minimum time between two heartbeats to a peer. In large
	// fleets the interval is the number of members times HeartbeatIntervalPerPeer, so that
	// a router sends at most a hundred heartbeats per second.
	HeartbeatInterval, HeartbeatIntervalPerPeer time.Duration
	// StatePollInterval is the time between two heartbeats by which a router asks its
	// leader, or a reader of the platform, for the age of the published state.
	StatePollInterval time.Duration
	// MaxLeaderStateAge is the maximum age of a router's view of the platform for it to
	// distribute that view as a leader. Routers with older views lead only if all are older.
	MaxLeaderStateAge time.Duration
	// Hubs is the number of routers that exchange frequent heartbeats with all others.
	// Homes are chosen among them: 12 are enough for the 30 groups of 950 upstreams, at
	// three groups each, if some hubs are lost. In addition, HubsPerDomain hubs in each
	// failure domain distribute the published state.
	Hubs, HubsPerDomain int
	// MissedHeartbeats is the number of heartbeat intervals without contact after which a
	// peer is no longer used.
	MissedHeartbeats int
	// ForgetAfter is the minimum time without contact after which a peer is removed from
	// the members.
	ForgetAfter time.Duration
	// PlacementRetryInterval is the time after which an unanswered placement request is
	// sent again, PlacementTimeout the time after which the next home or this router decides.
	// A home that has used up its processor share answers within a tenth of a second.
	PlacementRetryInterval, PlacementTimeout time.Duration
	// GroupSize is the maximum mean number of upstreams in a service's groups.
	GroupSize int
	// CachedParts requests the cache report of the engine at an address. It may be nil.
	CachedParts func(ctx context.Context, address string) (CacheReport, error)
	// WarmUpLeft requests the remaining warm-up time of an upstream at its health path. It
	// may be nil.
	WarmUpLeft func(ctx context.Context, u *registry.Upstream, healthPath string) (time.Duration, error)
	// RandomSeed seeds the random numbers of the process, including its incarnation. It must
	// be unique among processes.
	RandomSeed uint64
	// Regions maps failure domains to regions.
	Regions map[string]string
	// WarmUp limits the requests to upstreams that are warming up.
	WarmUp warmup.Policy
	// Quarantine configures the detection of requests that crash upstreams.
	Quarantine quarantine.Config
	// EntryLoad returns the load of this router as an entry point for callers, and whether it serves
	// them. It is nil if routers don't leave the load balancer when they are overloaded.
	EntryLoad func() (load entry.Load, serving bool)
	// Metrics is the scope of the metrics about leaving the load balancer. It may be nil.
	Metrics tally.Scope
	// Engine and Plain configure the placement for services with and without engines.
	Engine, Plain dispatch.Config
}

// DefaultConfig returns the default configuration. IP, Port, Domain, Weight and Seeds
// depend on the deployment and aren't set.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:        250 * time.Millisecond,
		HeartbeatIntervalPerPeer: 10 * time.Millisecond,
		StatePollInterval:        200 * time.Millisecond,
		MaxLeaderStateAge:        defaultMaxLeaderStateAge,
		Hubs:                     12, HubsPerDomain: 2,
		MissedHeartbeats:       4,
		ForgetAfter:            10 * time.Second,
		PlacementRetryInterval: 45 * time.Millisecond,
		PlacementTimeout:       100 * time.Millisecond,
		GroupSize:              32,
		RandomSeed:             rand.Uint64(),

		WarmUp:     warmup.DefaultPolicy(),
		Quarantine: quarantine.DefaultConfig(),
		Engine:     dispatch.DefaultConfig(true),
		Plain:      dispatch.DefaultConfig(false),
	}
}
