package lab

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Fleet describes the simulated fleet and its faults.
type Fleet struct {
	Engines, Routers int
	// Homes is the number of homes that divide the engines; 0 means one.
	Homes int
	// Domains, if not nil, divides the fleet into failure domains.
	Domains *Domains
	// SpreadTeams are the teams whose callers use all routers if RouterCPUs is set. The callers
	// of any other team use one router.
	SpreadTeams []int
	// RouterCPUs is the CPU of each router in cores. If empty, routers take no CPU time and a
	// team's callers use up to two routers.
	RouterCPUs []float64
	// RouterStalls are periods in which a router does no work.
	RouterStalls []RouterStall
	// EngineOutages are periods in which some of the engines get no work.
	EngineOutages []EngineOutage
	// ReportLoss is the fraction of messages between homes that are lost, MaxReportDelay the
	// maximum extra delay of the others.
	ReportLoss     float64
	MaxReportDelay time.Duration
	// Release, if not nil, divides the engines into two software versions.
	Release *Release
	// HomeReplacements are homes that are lost with all their state.
	HomeReplacements []HomeReplacement
	// CrashingPart, if not nil, is a prompt part on which engines crash.
	CrashingPart *CrashingPart
	// Features are the decisions that the cores of the homes have enabled.
	Features dispatch.Features
}

// HomeReplacement replaces a home by one without any state.
type HomeReplacement struct {
	Home int
	At   time.Duration
}

// EngineOutage makes the last engines of the list unavailable for a period.
type EngineOutage struct {
	Engines  int
	From, To time.Duration
}

// RouterStall blocks a router's CPU: its CPU quota is used up, or its VM is paused.
type RouterStall struct {
	Router int
	At     time.Duration
	Length time.Duration
}
