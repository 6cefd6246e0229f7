package soak

import (
	"errors"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/standin"
)

const (
	// restoreOutage is how long the store is unavailable when it is restored.
	restoreOutage = 300 * time.Millisecond
	// staleEntryLifetime is how long the copy's entries of upstreams that have ended stay published:
	// three heartbeats of 1.2 s.
	staleEntryLifetime = 3600 * time.Millisecond
)

// restoreStore restores the store from a copy that is as old as the fault's duration. What was written
// since is lost, and is written again once the store is back, for odd variants half a second later.
func (d *deployment) restoreStore(f Fault) error {
	older := d.store.Copy()
	time.Sleep(f.ActiveFor)
	d.store.SetFault(storeFaults[f.Variant%len(storeFaults)])
	time.Sleep(restoreOutage)
	d.store.Restore(older)
	d.store.SetFault(standin.StoreHealthy)
	if f.Variant%2 == 1 {
		time.Sleep(restoreOutage)
	}
	err := d.op.writeAgain()
	time.Sleep(staleEntryLifetime)
	d.op.deleteStaleEntries()
	return err
}

// writeAgain writes what the operator and the upstreams have published.
func (o *operator) writeAgain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	key, value, err := platform.EncodeConfig(o.cfg)
	if err != nil {
		return err
	}
	o.store.Put(key, value)
	var errs []error
	for _, u := range o.entries {
		errs = append(errs, o.writeEntry(u))
	}
	for i := range domainCount {
		domain := domainOf(i)
		if o.evacuated[domain] {
			o.store.Put(platform.EvacuationKey(domain), []byte("{}"))
		} else {
			o.store.Delete(platform.EvacuationKey(domain))
		}
	}
	return errors.Join(errs...)
}

// deleteStaleEntries deletes the entries of upstreams that have ended.
func (o *operator) deleteStaleEntries() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.store.Keys(platform.UpstreamKey("")) {
		if _, published := o.entries[id]; !published {
			o.store.Delete(platform.UpstreamKey(id))
		}
	}
}
