package membership

import "github.com/cespare/xxhash/v2"

// Home returns the VM that is the home of key, by rendezvous (highest random weight)
// hashing (Thaler and Ravishankar, 1998). When a VM leaves, only the keys it was the
// home of move. It returns "" for an empty list.
func Home(live []string, key string) string {
	home, highest := "", uint64(0)
	for _, name := range live {
		weight := xxhash.Sum64String(name + "\x00" + key)
		if home == "" || weight > highest || (weight == highest && name < home) {
			home, highest = name, weight
		}
	}
	return home
}
