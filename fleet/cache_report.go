package fleet

import (
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/registry"
)

// CacheReport lists the prompt parts that an engine has cached.
type CacheReport struct {
	// Started is when the engine's process was started, 0 if the engine doesn't report it.
	Started int64
	Parts   []dispatch.Part
}

// from returns the incarnation that sent the report. The engine may have been restarted
// after the request, or its entry in the registry may be older than the report.
func (r *CacheReport) from(upstream *registry.Upstream) dispatch.Incarnation {
	i := incarnation(upstream)
	if r.Started != 0 {
		i.Started = r.Started
	}
	return i
}
