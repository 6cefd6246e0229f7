package soak

import (
	"errors"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/standin"
)

// play brings the faults about, each at its time and beside those before it, and
// returns when the last has ended.
func (d *deployment) play(plan []Fault) error {
	start := time.Now()
	var running sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.At)))
		running.Go(func() {
			if err := d.bring(f); err != nil {
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

// bring brings one fault about and notes how long it lasted.
func (d *deployment) bring(f Fault) error {
	from := d.rec.Now()
	at := 0
	// It is noted at its beginning, so that nothing that it causes comes before it.
	d.rec.Add(func(h *History) {
		at = len(h.FaultIntervals)
		h.FaultIntervals = append(h.FaultIntervals, FaultInterval{Kind: f.Kind, Target: f.Target, From: from, To: from + time.Hour})
	})
	err := d.apply(f)
	to := d.rec.Now()
	d.rec.Add(func(h *History) { h.FaultIntervals[at].To = to })
	return err
}

// apply does what a fault says and returns when it is over.
func (d *deployment) apply(f Fault) error {
	switch f.Kind {
	case RouterKill, RouterPause, RouterStop, RouterReload:
		d.hitRouter(d.routers[f.Target], f)
	case RouterKillAll:
		for _, r := range d.routers {
			r.kill(f.ActiveFor)
		}
		time.Sleep(f.ActiveFor)
	case CallersDelay, CallersReset, CallersStall, CallersPartition:
		hitLink(d.routers[f.Target].callers, f)
	case StoreDelay, StoreReset, StoreStall, StorePartition:
		hitLink(d.routers[f.Target].store, f)
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition:
		hitLink(d.places[f.Target].link, f)
	case StoreDownForRouter, StoreDown, StoreCompact:
		d.hitStore(f)
	case UpstreamLeave:
		return d.places[f.Target].leave(f.ActiveFor)
	case UpstreamCrash:
		return d.places[f.Target].crash(f.ActiveFor)
	case UpstreamGrey:
		d.places[f.Target].grey(f.Variant, f.ActiveFor)
	case CrashingRequest:
		d.sendCrashingRequests(f)
	case UpstreamNotice:
		return d.places[f.Target].leaveUnpublished(f.ActiveFor)
	case UpstreamRetryAfter:
		d.rejectWithRetryAfter(f)
	case UpstreamCold:
		defer awaitWarm()
		return d.turnCold(d.places[f.Target], learnTime)
	case UpstreamColdRestart:
		return d.coldReturn(d.places[f.Target], f.ActiveFor)
	case DomainEvacuate:
		return d.evacuate(f)
	case KeyChange:
		return d.op.changeKey()
	case RouteMove:
		return d.op.move()
	case RouteAdd:
		return d.op.add()
	}
	return nil
}

func (d *deployment) hitRouter(r *router, f Fault) {
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

// linkDelay is what a slow link adds to each piece.
const linkDelay = 80 * time.Millisecond

// hitLink harms a link; variants are the ways that a cut may have.
func hitLink(k *Link, f Fault) {
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
		forth, back := f.Variant%3 != 1, f.Variant%3 != 2
		k.Block(ClientToServer, forth)
		k.Block(ServerToClient, back)
		time.Sleep(f.ActiveFor)
		k.Block(ClientToServer, false)
		k.Block(ServerToClient, false)
	}
}

// storeFaults are the forms in which the store turns callers away.
var storeFaults = []standin.StoreFault{standin.StoreBusy, standin.StoreLimited, standin.StoreSilent, standin.StoreReset}

func (d *deployment) hitStore(f Fault) {
	fault := storeFaults[f.Variant%len(storeFaults)]
	switch f.Kind {
	case StoreDownForRouter:
		d.store.SetFaultFor(storeName(f.Target), fault)
		time.Sleep(f.ActiveFor)
		d.store.SetFaultFor(storeName(f.Target), standin.StoreWell)
	case StoreDown:
		d.store.SetFault(fault)
		time.Sleep(f.ActiveFor)
		d.store.SetFault(standin.StoreWell)
	default:
		d.store.Forget()
		d.store.CutWatches()
	}
}
