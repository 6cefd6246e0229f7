package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// Config tunes a Node.
type Config struct {
	// IP and Port are where the router hears its peers; all routers use the same
	// port.
	IP   string
	Port int
	// Domain is the failure domain.
	Domain string
	// Weight is the VM's share of a core: stronger VMs are home to more.
	Weight float64
	// Seeds are IPs of routers that may be up.
	Seeds []string
	// Beat is the least time between two heartbeats to a peer. BeatPerPeer
	// stretches it with the fleet, so that a router sends a hundred a second at
	// most.
	HeartbeatInterval, HeartbeatIntervalPerPeer time.Duration
	// Ping is how often a router asks those that read the platform how fresh
	// the state is.
	StatePollInterval time.Duration
	// LeadAge is how old a router's view of the platform may be for it to pass
	// the view on to others.
	MaxLeaderStateAge time.Duration
	// Hubs are the routers that all others hear often; homes are chosen among them.
	// Twelve are enough for the homes of 950 upstreams (30 groups) at three each, with
	// some lost. HubsInDomain more know the published state in each failure domain.
	Hubs, HubsPerDomain int
	// Missed is how many heartbeats may fail to come before a peer isn't used.
	MissedHeartbeats int
	// Forget is when a silent peer is no longer a member.
	ForgetAfter time.Duration
	// AskAgain is when an unanswered question is asked again, AskLocal when it is
	// decided here. A home whose processor share is used up for the moment
	// answers within a tenth of a second.
	PlacementRetryInterval, PlacementTimeout time.Duration
	// GroupSize is how many upstreams one home decides for, roughly.
	GroupSize int
	// Cached asks an engine at an address which prompt parts it keeps; nil if
	// engines can't be asked.
	CachedParts func(ctx context.Context, address string) (CacheReport, error)
	// WarmUpLeft asks an upstream at its health path how much longer it warms up; nil if that
	// can't be asked.
	WarmUpLeft func(ctx context.Context, u *registry.Upstream, healthPath string) (time.Duration, error)
	// Seed of the process's random numbers, among them its incarnation: two
	// processes must not have the same.
	RandomSeed uint64
	// Regions are the regions of failure domains.
	Regions map[string]string
	// WarmUp bounds what is sent to upstreams that are warming up.
	WarmUp warmup.Policy
	// Quarantine configures the detection of requests that crash upstreams.
	Quarantine quarantine.Config
	// Engine and Plain tune the decisions.
	Engine, Plain dispatch.Config
}

// DefaultConfig returns the settings that a deployment changes.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:        250 * time.Millisecond,
		HeartbeatIntervalPerPeer: 10 * time.Millisecond,
		StatePollInterval:        200 * time.Millisecond,
		MaxLeaderStateAge:        leadAge,
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
