package router

import "github.com/aspenswitch/aspenswitch/bundle"

// indexedBundle is the bundle in force with the indexes that request handlers use.
type indexedBundle struct {
	VersionID bundle.VersionID
	Bundle    *bundle.Bundle
	Index     bundle.Index
	upstreams map[int]bundle.Upstream
}

func newIndexedBundle(m bundle.VersionID, b *bundle.Bundle) *indexedBundle {
	indexed := &indexedBundle{VersionID: m, Bundle: b, Index: bundle.NewIndex(b), upstreams: map[int]bundle.Upstream{}}
	for _, u := range b.Upstreams {
		indexed.upstreams[u.ID] = u
	}
	return indexed
}
