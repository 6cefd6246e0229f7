package soak

import (
	"errors"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/standin"
)

// executePlan injects each fault at its time, concurrently with earlier ones, and returns
// once the last has ended and the configured duration has passed.
func (d *deployment) executePlan(plan []Fault) error {
	start := time.Now()
	var running sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.At)))
		running.Go(func() {
			if err := d.inject(f); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(start.Add(d.cfg.Duration)))
	running.Wait()
	return failed
}

// inject applies one fault and records the interval in which it was active.
func (d *deployment) inject(f Fault) error {
	from := d.rec.Now()
	index := 0
	// The fault is recorded before it is applied, so that none of its effects precede it.
	d.rec.Add(func(h *History) {
		index = len(h.FaultIntervals)
		h.FaultIntervals = append(h.FaultIntervals, FaultInterval{Kind: f.Kind, Target: f.Target, From: from, To: from + time.Hour})
	})
	err := d.apply(f)
	to := d.rec.Now()
	d.rec.Add(func(h *History) { h.FaultIntervals[index].To = to })
	return err
}

// apply applies a fault and returns when it is over.
func (d *deployment) apply(f Fault) error {
	switch f.Kind {
	case RouterKill, RouterPause, RouterStop, RouterReload:
		d.applyRouterFault(d.routers[f.Target], f)
	case RouterKillAll:
		for _, r := range d.routers {
			r.kill(f.ActiveFor)
		}
		time.Sleep(f.ActiveFor)
	case CallersDelay, CallersReset, CallersStall, CallersPartition:
		applyLinkFault(d.routers[f.Target].callers, f)
	case StoreDelay, StoreReset, StoreStall, StorePartition:
		applyLinkFault(d.routers[f.Target].store, f)
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition:
		applyLinkFault(d.endpoints[f.Target].link, f)
	case StoreDownForRouter, StoreDown, StoreCompact:
		d.applyStoreFault(f)
	case StoreRestore:
		return d.restoreStore(f)
	case UpstreamLeave:
		return d.endpoints[f.Target].leave(f.ActiveFor)
	case UpstreamCrash:
		return d.endpoints[f.Target].crash(f.ActiveFor)
	case UpstreamGrey:
		d.endpoints[f.Target].grey(f.Variant, f.ActiveFor)
	case UpstreamUnframed:
		d.endpoints[f.Target].unframe(f.Variant, f.ActiveFor)
	case ConnectionFlood:
		d.floodConnections(f)
	case PartRequests:
		d.sendRequestsWithPart(f)
	case CrashingRequest:
		d.sendCrashingRequests(f)
	case UpstreamNotice:
		return d.endpoints[f.Target].leaveUnpublished(f.ActiveFor)
	case UpstreamRetryAfter:
		d.rejectWithRetryAfter(f)
	case UpstreamCold:
		defer awaitWarmUp()
		return d.startWarmUp(d.endpoints[f.Target], detectionTime)
	case UpstreamColdRestart:
		return d.coldRestart(d.endpoints[f.Target], f.ActiveFor)
	case DomainEvacuate:
		return d.evacuate(f)
	case UpstreamUpgrade:
		return d.endpoints[f.Target].upgrade(f.ActiveFor)
	case ServiceRelease:
		return d.release(f)
	case KeyChange:
		return d.op.changeKey()
	case RouteMove:
		return d.op.moveRoute()
	case RouteAdd:
		return d.op.addRoute()
	}
	return nil
}

func (d *deployment) applyRouterFault(r *router, f Fault) {
	switch f.Kind {
	case RouterKill:
		r.kill(f.ActiveFor)
		time.Sleep(f.ActiveFor)
	case RouterPause:
		r.pause(f.ActiveFor)
	case RouterStop:
		r.stop(f.ActiveFor)
	default:
		r.reload()
	}
}

// linkDelay is the delay that a slow link adds to each chunk.
const linkDelay = 80 * time.Millisecond

// applyLinkFault applies a fault to a link. The variant of a partition selects whether
// it blocks both directions or only one.
func applyLinkFault(k *Link, f Fault) {
	switch f.Kind {
	case CallersDelay, StoreDelay, UpstreamDelay:
		k.Delay(linkDelay)
		time.Sleep(f.ActiveFor)
		k.Delay(0)
	case CallersReset, StoreReset, UpstreamReset:
		k.Reset()
	case CallersStall, StoreStall, UpstreamStall:
		k.Stall()
	default:
		toServer, toClient := f.Variant%3 != 1, f.Variant%3 != 2
		k.Block(ClientToServer, toServer)
		k.Block(ServerToClient, toClient)
		time.Sleep(f.ActiveFor)
		k.Block(ClientToServer, false)
		k.Block(ServerToClient, false)
	}
}

// storeFaults are the ways in which the store can be unavailable.
var storeFaults = []standin.StoreFault{standin.StoreUnavailable, standin.StoreRateLimited, standin.StoreUnresponsive, standin.StoreConnectionReset}

func (d *deployment) applyStoreFault(f Fault) {
	fault := storeFaults[f.Variant%len(storeFaults)]
	switch f.Kind {
	case StoreDownForRouter:
		d.store.SetFaultFor(storeName(f.Target), fault)
		time.Sleep(f.ActiveFor)
		d.store.SetFaultFor(storeName(f.Target), standin.StoreHealthy)
	case StoreDown:
		d.store.SetFault(fault)
		time.Sleep(f.ActiveFor)
		d.store.SetFault(standin.StoreHealthy)
	default:
		d.store.Compact()
		d.store.AbortWatches()
	}
}
