package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an entry of the store. A []byte is encoded in JSON as base64 text with padding.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	writtenAt time.Time
}

// Limits of the store, as in PROTOCOL.md and in the settings of a small deployment.
const (
	history      = 20 * time.Second
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes = 1 << 20
	answerTime    = 4 * time.Millisecond
)

// Store is the platform's metadata store.
type Store struct {
	mu        sync.Mutex
	items     map[string]Item
	log       []Item
	compacted int64
	revision  int64
	changed   chan struct{}
	watchedAt map[string]time.Time
	// cut has the callers that are partitioned from the store.
	cut map[string]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, revision: 100, changed: make(chan struct{}), watchedAt: map[string]time.Time{}, cut: map[string]bool{}}
}

// Put writes an item; its return is the acknowledgement.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, writtenAt: time.Now()}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
	return s.revision
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(Item{Key: key, Revision: s.revision, Tombstone: true, writtenAt: time.Now()})
}

func (s *Store) append(it Item) {
	s.log = append(s.log, it)
	for len(s.log) > 0 && time.Since(s.log[0].writtenAt) > history {
		s.compacted = s.log[0].Revision
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve serves the store for one caller on a free port of loopback and returns its address.
func (s *Store) Serve(caller string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) { s.answer(caller, w, r, s.list(r)) })
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.watchedAt[caller] = time.Now()
		s.mu.Unlock()
		s.answer(caller, w, r, s.watch(r))
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// Readers returns the callers that have begun a watch within the given time.
func (s *Store) Readers(within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, at := range s.watchedAt {
		if time.Since(at) < within {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Cut partitions a caller from the store, or ends that. The cut is silent: nothing is answered.
func (s *Store) Cut(caller string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[caller] = cut
}

// answer sends a body, or only a status if the body is one. A caller that is cut off gets nothing, also
// later.
func (s *Store) answer(caller string, w http.ResponseWriter, r *http.Request, body any) {
	s.mu.Lock()
	cut := s.cut[caller]
	s.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	if status, ok := body.(int); ok {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// list returns a page of the items.
func (s *Store) list(r *http.Request) any {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []Item `json:"items"`
		Truncated bool   `json:"truncated"`
		Revision  int64  `json:"storeRevision"`
	}{Items: []Item{}, Revision: s.revision}
	size := 0
	for _, key := range keys {
		if len(page.Items) == maxPageItems || size >= maxPageBytes {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.items[key])
		size += len(s.items[key].Value)
	}
	s.mu.Unlock()
	return page
}

// watch returns the events after a revision, a status if there is an error.
func (s *Store) watch(r *http.Request) any {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest
	}
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		body := struct {
			Events   []Item `json:"events"`
			Revision int64  `json:"storeRevision"`
		}{Events: []Item{}}
		s.mu.Lock()
		gone, changed := after < s.compacted, s.changed
		body.Revision = s.revision
		for _, it := range s.log {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				body.Events = append(body.Events, it)
			}
		}
		s.mu.Unlock()
		if gone {
			return http.StatusGone
		}
		if len(body.Events) > 0 {
			return body
		}
		select {
		case <-changed:
		case <-timer.C:
			return body
		case <-r.Context().Done():
			return http.StatusServiceUnavailable // nobody reads it
		}
	}
}
