package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the form in which a bearer key stands in a bundle. Keys are
// long random strings, so that a plain hash is enough.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// Index finds teams by their keys.
type Index struct{ teams map[string]Team }

// NewIndex returns the index of a bundle's keys.
func NewIndex(b *Bundle) Index {
	x := Index{teams: map[string]Team{}}
	for _, t := range b.Teams {
		for _, key := range t.Keys {
			x.teams[key] = t
		}
	}
	return x
}

// Team returns the team that a bearer key belongs to.
func (x Index) Team(key string) (Team, bool) {
	t, ok := x.teams[HashKey(key)]
	return t, ok
}
