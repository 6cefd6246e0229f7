package feed

import (
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Snapshot is everything published as of a revision. It isn't changed once made.
type Snapshot struct {
	Table    *routing.Table
	View     *registry.View
	Revision int64
}

// ConfigVersion is the configuration's version, 0 if none is known.
func (s *Snapshot) ConfigVersion() int64 {
	if s == nil || s.Table == nil {
		return 0
	}
	return s.Table.Config.Version
}
