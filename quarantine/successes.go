package quarantine

import "time"

// RecentSuccesses records the contents of requests that recently received a complete
// response. It keeps at most maxSuccesses contents, evicting the oldest first.
type RecentSuccesses struct {
	times map[Key]time.Duration
	ring  []Key
	next  int
}

const (
	// maxSuccesses limits memory use. It covers a few seconds of requests at a busy router.
	maxSuccesses = 2048
	// SuccessWindow is how long a success counts as evidence that a content is harmless.
	SuccessWindow = time.Second
)

// Add records a success.
func (s *RecentSuccesses) Add(now time.Duration, id Key) {
	if s.times == nil {
		s.times = map[Key]time.Duration{}
	}
	if _, known := s.times[id]; !known {
		s.insert(id)
	}
	s.times[id] = now
}

// insert adds a content to the ring, replacing the one that was inserted first if it is full.
func (s *RecentSuccesses) insert(id Key) {
	if len(s.ring) < maxSuccesses {
		s.ring = append(s.ring, id)
		return
	}
	delete(s.times, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % maxSuccesses
}

// SucceededRecently reports whether a request with the content succeeded within SuccessWindow.
func (s *RecentSuccesses) SucceededRecently(now time.Duration, id Key) bool {
	at, known := s.times[id]
	return known && now-at <= SuccessWindow
}
