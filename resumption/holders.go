package resumption

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of routers that remember a stream: the record is lost only if all of
	// them, in as many failure domains if there are so many, and the router that serves it are.
	Copies = 3
	// Asked is the number of routers that are asked for a stream. It is larger than Copies, since
	// routers that have joined, left or failed meanwhile shift the choice.
	Asked = 2 * Copies
)

// Candidate is a router that may remember streams.
type Candidate struct {
	ID     uint64
	Domain string
}

// Holders returns the routers that remember a stream, the first n in order of preference. Routers
// with the same candidates choose the same. Copies failure domains are chosen, if there are so many,
// and routers within them in turn, both by rendezvous hashing (Thaler and Ravishankar 1998): a
// router that joins or is lost shifts the choice within its failure domain only.
func Holders(id StreamID, candidates []Candidate, n int) []uint64 {
	byDomain := map[string][]uint64{}
	for _, c := range candidates {
		byDomain[c.Domain] = append(byDomain[c.Domain], c.ID)
	}
	domains := make([]string, 0, len(byDomain))
	for domain, routers := range byDomain {
		domains = append(domains, domain)
		slices.SortFunc(routers, func(a, b uint64) int { return cmp.Or(cmp.Compare(score(id, b), score(id, a)), cmp.Compare(a, b)) })
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(id, xxhash.Sum64String(b)), score(id, xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	chosen := domains[:min(Copies, len(domains))]
	holders := make([]uint64, 0, n)
	for rank := 0; len(holders) < n; rank++ {
		left := false
		for _, domain := range chosen {
			if routers := byDomain[domain]; rank < len(routers) && len(holders) < n {
				holders = append(holders, routers[rank])
				left = true
			}
		}
		if !left {
			break
		}
	}
	return holders
}

func score(id StreamID, key uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(id))
	binary.LittleEndian.PutUint64(raw[8:], key)
	return xxhash.Sum64(raw[:])
}
