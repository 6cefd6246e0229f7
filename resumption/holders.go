package resumption

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of routers that record a stream: the record is lost only if all of
	// them, in as many failure domains if there are so many, and the router that serves it are.
	Copies = 3
	// Asked is the number of routers that are asked for a stream. It is larger than Copies, since
	// routers that have joined, left or failed meanwhile shift the choice.
	Asked = 2 * Copies
)

// Candidate is a router that may record streams.
type Candidate struct {
	ID     uint64
	Domain string
}

// Holders returns the routers that record a stream, the first n in order of preference. Routers
// with the same candidates choose the same. Copies failure domains are chosen, if there are so many,
// and routers within them in turn, both by rendezvous hashing (Thaler and Ravishankar 1998): a
// router that joins or is lost shifts the choice within its failure domain only.
func Holders(id StreamID, candidates []Candidate, n int) []uint64 {
	chosen := chooseDomains(id, candidates)
	perDomain := (n + Copies - 1) / Copies
	if len(chosen) < Copies {
		perDomain = n
	}
	best := make([][]scored, len(chosen))
	for _, c := range candidates {
		if i := slices.Index(chosen, c.Domain); i >= 0 {
			best[i] = insertBest(best[i], scored{c.ID, score(id, c.ID)}, perDomain)
		}
	}
	holders := make([]uint64, 0, n)
	for rank := range perDomain {
		for _, routers := range best {
			if rank < len(routers) && len(holders) < n {
				holders = append(holders, routers[rank].id)
			}
		}
	}
	return holders
}

// chooseDomains returns the failure domains of a stream's holders, by preference.
func chooseDomains(id StreamID, candidates []Candidate) []string {
	scores := map[string]uint64{}
	for _, c := range candidates {
		if _, known := scores[c.Domain]; !known {
			scores[c.Domain] = score(id, xxhash.Sum64String(c.Domain))
		}
	}
	domains := slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return domains[:min(Copies, len(domains))]
}

// scored is a router with its score for a stream.
type scored struct{ id, score uint64 }

// insertBest adds a router to a list of at most n in descending order.
func insertBest(list []scored, s scored, n int) []scored {
	at, _ := slices.BinarySearchFunc(list, s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	if at == n {
		return list
	}
	return slices.Insert(list[:min(len(list), n-1)], min(at, n-1), s)
}

func score(id StreamID, key uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(id))
	binary.LittleEndian.PutUint64(raw[8:], key)
	return xxhash.Sum64(raw[:])
}
