package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hash of a bearer key as stored in a bundle. Keys are long
// random strings, so an unsalted hash is sufficient.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// Index maps key hashes to teams.
type Index struct{ teams map[string]Team }

// NewIndex returns an index of the keys in b.
func NewIndex(b *Bundle) Index {
	x := Index{teams: map[string]Team{}}
	for _, t := range b.Teams {
		for _, key := range t.Keys {
			x.teams[key] = t
		}
	}
	return x
}

// Team returns the team that a bearer key belongs to and whether there is one.
func (x Index) Team(key string) (Team, bool) {
	t, ok := x.teams[HashKey(key)]
	return t, ok
}
