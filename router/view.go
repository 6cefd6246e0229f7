package router

import "github.com/aspenswitch/aspenswitch/bundle"

// view is the bundle in force, as the handlers of traffic read it.
type view struct {
	Mark      bundle.VersionID
	Bundle    *bundle.Bundle
	Index     bundle.Index
	upstreams map[int]bundle.Upstream
}

func newView(m bundle.VersionID, b *bundle.Bundle) *view {
	v := &view{Mark: m, Bundle: b, Index: bundle.NewIndex(b), upstreams: map[int]bundle.Upstream{}}
	for _, u := range b.Upstreams {
		v.upstreams[u.ID] = u
	}
	return v
}
