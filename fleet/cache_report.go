package fleet

import (
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/registry"
)

// Kept is what an engine says that it keeps.
type CacheReport struct {
	// Started is when its process started, 0 if it doesn't say.
	Started int64
	Parts   []dispatch.Part
}

// from is the incarnation that said it. The one that was asked may have started again
// meanwhile, or its entry may be older than its answer.
func (k *CacheReport) from(asked *registry.Upstream) dispatch.Incarnation {
	i := incarnation(asked)
	if k.Started != 0 {
		i.Started = k.Started
	}
	return i
}
