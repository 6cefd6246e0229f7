package soak

import "time"

// FaultKind is what is done to a part of the deployment.
type FaultKind string

// Kinds of faults. Each has a part: a router, an upstream, or the store as a whole.
const (
	// RouterKill ends a router's process without notice; it starts again.
	RouterKill FaultKind = "router-kill"
	// RouterPause stops a process by a signal and wakes it later.
	RouterPause FaultKind = "router-pause"
	// RouterStop is a planned stop: a signal, the grace, and a start.
	RouterStop FaultKind = "router-stop"
	// RouterReload says that the settings have changed.
	RouterReload FaultKind = "router-reload"
	// RouterKillAll ends all routers' processes at one moment.
	RouterKillAll FaultKind = "herd-kill"
	// CallersDelay, CallersReset, CallersHush and CallersCut harm the link from the
	// callers to a router.
	CallersDelay     FaultKind = "callers-delay"
	CallersReset     FaultKind = "callers-reset"
	CallersStall     FaultKind = "callers-hush"
	CallersPartition FaultKind = "callers-cut"
	// StoreDelay, StoreReset, StoreHush and StoreCut harm a router's link to the store.
	StoreDelay     FaultKind = "store-delay"
	StoreReset     FaultKind = "store-reset"
	StoreStall     FaultKind = "store-hush"
	StorePartition FaultKind = "store-cut"
	// StoreDownForRouter makes the store turn one router away.
	StoreDownForRouter FaultKind = "store-away"
	// StoreDown makes the store answer nobody; StoreForget drops its history and
	// cuts all watches.
	StoreDown    FaultKind = "store-down"
	StoreCompact FaultKind = "store-forget"
	// UpstreamDelay, UpstreamReset, UpstreamHush and UpstreamCut harm the routers'
	// link to an upstream.
	UpstreamDelay     FaultKind = "upstream-delay"
	UpstreamReset     FaultKind = "upstream-reset"
	UpstreamStall     FaultKind = "upstream-hush"
	UpstreamPartition FaultKind = "upstream-cut"
	// UpstreamLeave is a planned leave; UpstreamCrash has none. Another
	// incarnation, of either service, comes up at the same address.
	UpstreamLeave FaultKind = "upstream-leave"
	UpstreamCrash FaultKind = "upstream-crash"
	// UpstreamGrey makes an upstream fail part of its requests, break off its
	// answers, send them twice, or send what is no answer.
	UpstreamGrey FaultKind = "upstream-grey"
	// CrashingRequest repeats a request that crashes every upstream that runs it, at any
	// router.
	CrashingRequest FaultKind = "crashing-request"
	// UpstreamNotice is a leave that is announced only by the leaving notice in answers.
	UpstreamNotice FaultKind = "upstream-notice"
	// UpstreamRetryAfter makes an upstream, or all upstreams of a service, answer 503 with
	// Retry-After.
	UpstreamRetryAfter FaultKind = "upstream-rest"
	// UpstreamCold makes an upstream warm up anew under the same start; UpstreamColdReturn
	// crashes it, and the next incarnation warms up.
	UpstreamCold        FaultKind = "upstream-cold"
	UpstreamColdRestart FaultKind = "upstream-cold-return"
	// DomainEvacuate evacuates a failure domain of upstreams, which may be cold afterwards.
	DomainEvacuate FaultKind = "domain-evacuate"
	// KeyChange takes a team's key away and gives it another; RouteMove sends a
	// route to the other service; RouteAdd adds one.
	KeyChange FaultKind = "key-change"
	RouteMove FaultKind = "route-move"
	RouteAdd  FaultKind = "route-add"
)

// Fault is one entry of a plan.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind FaultKind     `json:"kind"`
	// Target is the index of the router or upstream.
	Target int `json:"target"`
	// ActiveFor is how long it lasts, where it does.
	ActiveFor time.Duration `json:"for"`
	// Variant picks among the forms of a kind.
	Variant int `json:"variant"`
}
