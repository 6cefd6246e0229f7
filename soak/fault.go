package soak

import "time"

// FaultKind is a kind of fault or change that is injected into the deployment.
type FaultKind string

// Kinds of faults. Each targets a router, an upstream, or the store as a whole.
const (
	// RouterKill kills a router's process with SIGKILL; it is restarted.
	RouterKill FaultKind = "router-kill"
	// RouterPause suspends a router's process with SIGSTOP and resumes it later.
	RouterPause FaultKind = "router-pause"
	// RouterStop is a graceful restart: SIGTERM, the termination grace period, and a start.
	RouterStop FaultKind = "router-stop"
	// RouterReload sends SIGHUP, which makes the router reload its settings.
	RouterReload FaultKind = "router-reload"
	// RouterKillAll kills the processes of all routers at once.
	RouterKillAll FaultKind = "herd-kill"
	// CallersDelay, CallersReset, CallersStall and CallersPartition affect the link from
	// the callers to a router.
	CallersDelay     FaultKind = "callers-delay"
	CallersReset     FaultKind = "callers-reset"
	CallersStall     FaultKind = "callers-hush"
	CallersPartition FaultKind = "callers-cut"
	// StoreDelay, StoreReset, StoreStall and StorePartition affect a router's link to the
	// store.
	StoreDelay     FaultKind = "store-delay"
	StoreReset     FaultKind = "store-reset"
	StoreStall     FaultKind = "store-hush"
	StorePartition FaultKind = "store-cut"
	// StoreDownForRouter makes the store unavailable to one router.
	StoreDownForRouter FaultKind = "store-away"
	// StoreDown makes the store unavailable to all routers; StoreCompact drops its
	// history and closes all watches.
	StoreDown    FaultKind = "store-down"
	StoreCompact FaultKind = "store-forget"
	// StoreRestore makes the store come back from a copy that is some seconds old.
	StoreRestore FaultKind = "store-restore"
	// UpstreamDelay, UpstreamReset, UpstreamStall and UpstreamPartition affect the routers'
	// link to an upstream.
	UpstreamDelay     FaultKind = "upstream-delay"
	UpstreamReset     FaultKind = "upstream-reset"
	UpstreamStall     FaultKind = "upstream-hush"
	UpstreamPartition FaultKind = "upstream-cut"
	// UpstreamLeave is a graceful leave; UpstreamCrash is an end without one. Another
	// incarnation, of either service, starts at the same address.
	UpstreamLeave FaultKind = "upstream-leave"
	UpstreamCrash FaultKind = "upstream-crash"
	// UpstreamGrey is a gray failure: the upstream fails some of its requests, truncates
	// or duplicates responses, or sends malformed ones.
	UpstreamGrey FaultKind = "upstream-grey"
	// UpstreamUnframed makes an upstream send some of its streams without a length or chunks, whole
	// or cut inside an event.
	UpstreamUnframed FaultKind = "upstream-unframed"
	// CrashingRequest repeatedly sends a request that crashes every upstream that runs it,
	// through any router.
	CrashingRequest FaultKind = "crashing-request"
	// PartRequests repeatedly sends requests with a part of a prompt that crashes every upstream
	// which starts to answer it. The other parts are those of ordinary requests.
	PartRequests FaultKind = "crashing-part"
	// UpstreamNotice is a leave that is announced only by the leaving notice in responses.
	UpstreamNotice FaultKind = "upstream-notice"
	// UpstreamRetryAfter makes an upstream, or all upstreams of a service, respond with 503
	// and Retry-After.
	UpstreamRetryAfter FaultKind = "upstream-rest"
	// UpstreamCold makes an upstream warm up again without a restart; UpstreamColdRestart
	// crashes it, and the next incarnation warms up.
	UpstreamCold        FaultKind = "upstream-cold"
	UpstreamColdRestart FaultKind = "upstream-cold-return"
	// DomainEvacuate evacuates a failure domain; its upstreams may be cold afterwards.
	DomainEvacuate FaultKind = "domain-evacuate"
	// UpstreamUpgrade is a graceful leave after which the next incarnation runs the next version of
	// the software. ServiceRelease upgrades the upstreams of a service one after the other.
	UpstreamUpgrade FaultKind = "upstream-upgrade"
	ServiceRelease  FaultKind = "service-release"
	// ConnectionFlood opens new connections at a router faster than it can hold them.
	ConnectionFlood FaultKind = "connection-flood"
	// KeyChange replaces a team's key; RouteMove moves a route to the other service;
	// RouteAdd adds a route.
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
	// ActiveFor is the duration of the fault, 0 for an instantaneous one.
	ActiveFor time.Duration `json:"for"`
	// Variant selects one of the forms of the kind.
	Variant int `json:"variant"`
}
