package quarantine

import "time"

// RecentSuccesses records the keys that were recently shown to be harmless: contents whose
// requests received a complete response, and parts of prompts whose answer has started. It keeps
// a limited number of keys, evicting the oldest first.
type RecentSuccesses struct {
	max   int
	times map[Key]time.Duration
	ring  []Key
	next  int
}

const (
	// MaxSuccesses limits memory use. It covers a few seconds of contents at a busy router, and
	// minutes of the parts that many prompts share.
	MaxSuccesses = 2048
	// SuccessWindow is how long a success counts as evidence that a content is harmless.
	SuccessWindow = time.Second
	// PartSuccessWindow is the same for a part: the shortest time from the first counted crash to
	// the quarantine. A success before that crash shows nothing, since a part can change from
	// harmless to crashing.
	PartSuccessWindow = (partQuarantineAfter - 1) * partBurstWindow
	// ProvenWindow is how long a success counts as evidence that a key was harmless before it was
	// quarantined.
	ProvenWindow = 10 * time.Minute
)

// NewRecentSuccesses returns a RecentSuccesses that keeps up to max keys.
func NewRecentSuccesses(max int) *RecentSuccesses {
	return &RecentSuccesses{max: max, times: map[Key]time.Duration{}}
}

// Add records a success.
func (s *RecentSuccesses) Add(now time.Duration, id Key) {
	if _, known := s.times[id]; !known {
		s.insert(id)
	}
	s.times[id] = now
}

// insert adds a key to the ring, replacing the one that was inserted first if it is full.
func (s *RecentSuccesses) insert(id Key) {
	if len(s.ring) < s.max {
		s.ring = append(s.ring, id)
		return
	}
	delete(s.times, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % s.max
}

// SucceededWithin reports whether there was a success with a key in the time before now.
func (s *RecentSuccesses) SucceededWithin(now time.Duration, id Key, window time.Duration) bool {
	at, known := s.times[id]
	return known && now-at <= window
}
