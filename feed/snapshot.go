package feed

import (
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Snapshot is the state published as of a revision. It is immutable.
type Snapshot struct {
	Table    *routing.Table
	View     *registry.View
	Revision int64
}

// ConfigVersion returns the version of the configuration, or 0 if there is none.
func (s *Snapshot) ConfigVersion() int64 {
	if s == nil || s.Table == nil {
		return 0
	}
	return s.Table.Config.Version
}
