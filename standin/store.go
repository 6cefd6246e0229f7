package standin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Store is a fake of the metadata store: keys with revisions that can be read, listed by prefix
// in pages, and watched. Its methods write keys and inject faults.
type Store struct {
	mu sync.Mutex
	// era counts how often the store has been restored from a copy; every response has it.
	era      int64
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// compactedRevision is the revision up to which the history has been dropped.
	compactedRevision int64
	changed           chan struct{}
	pageSize          int
	fault             StoreFault
	// faults are the faults of single callers, by the name passed to HandlerFor.
	faults map[string]StoreFault
	// abortWatches is closed and replaced to abort all waiting watches.
	abortWatches chan struct{}
	calls        int
	// delay is the time before each response.
	delay time.Duration
}

// StoreFault is a fault that a Store injects into calls.
type StoreFault uint8

// Faults of a Store.
const (
	// StoreHealthy injects no fault.
	StoreHealthy StoreFault = iota
	// StoreUnavailable returns status 503.
	StoreUnavailable
	// StoreRateLimited returns status 429.
	StoreRateLimited
	// StoreUnresponsive never responds.
	StoreUnresponsive
	// StoreConnectionReset aborts the connection.
	StoreConnectionReset
)

// storeEra is the header with the store's era.
const storeEra = "Store-Era"

// StoreCopy is a copy of a store's data.
type StoreCopy struct {
	revision, compactedRevision int64
	items                       map[string]storeItem
	history                     []storeItem
}

// storeItem is one revision of a key. Tombstone is set for a deletion.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// defaultPageSize is the default size of a page, in items.
const defaultPageSize = 500

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]storeItem{}, faults: map[string]StoreFault{},
		changed: make(chan struct{}), abortWatches: make(chan struct{}), pageSize: defaultPageSize,
	}
}

// Put writes a key and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) record(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from older revisions must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
}

// Copy returns a copy of the store's data.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, compactedRevision: s.compactedRevision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// Restore replaces the store's data by a copy. What was written since the copy is lost, and its
// revisions are given out again. Waiting watches are aborted.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	close(s.abortWatches)
	s.abortWatches = make(chan struct{})
}

// Keys returns the keys with a prefix, without the prefix.
func (s *Store) Keys(prefix string) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if name, found := strings.CutPrefix(key, prefix); found {
			names = append(names, name)
		}
	}
	return names
}

// SetFault sets the fault for all callers.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetFaultFor sets the fault for a single caller and doesn't affect the others.
func (s *Store) SetFaultFor(caller string, f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = f
}

// AbortWatches aborts the connections of all waiting watches.
func (s *Store) AbortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.abortWatches)
	s.abortWatches = make(chan struct{})
}

// SetRevision sets the current revision, to simulate a store that has been in use.
func (s *Store) SetRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

// SetPageSize sets the maximum number of items in a page.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// SetDelay sets the time before each response.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP API of the store.
func (s *Store) Handler() http.Handler { return s.HandlerFor("") }

// HandlerFor returns the HTTP API of the store for the named caller; see SetFaultFor.
func (s *Store) HandlerFor(caller string) http.Handler {
	e := echo.New()
	e.HideBanner = true
	v1 := e.Group("/v1", func(next echo.HandlerFunc) echo.HandlerFunc { return s.injectFault(caller, next) })
	v1.GET("/kv-range", s.getRange)
	v1.GET("/kv-watch", s.watch)
	return e
}

// injectFault is a middleware that counts calls and applies the delay and the fault.
func (s *Store) injectFault(caller string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		s.calls++
		fault, delay := max(s.fault, s.faults[caller]), s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		s.mu.Lock()
		c.Response().Header().Set(storeEra, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		switch fault {
		case StoreUnavailable:
			return c.NoContent(http.StatusServiceUnavailable)
		case StoreRateLimited:
			return c.NoContent(http.StatusTooManyRequests)
		case StoreUnresponsive:
			<-c.Request().Context().Done()
			return nil
		case StoreConnectionReset:
			panic(http.ErrAbortHandler)
		case StoreHealthy:
		}
		return next(c)
	}
}

// rangeResponse is the response to a range read.
type rangeResponse struct {
	Items     []storeItem `json:"items"`
	Truncated bool        `json:"truncated"`
	Revision  int64       `json:"storeRevision"`
}

func (s *Store) getRange(c echo.Context) error {
	prefix, after := c.QueryParam("pathPrefix"), c.QueryParam("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rangeResponse{Items: []storeItem{}, Revision: s.revision}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			body.Items = append(body.Items, it)
		}
	}
	slices.SortFunc(body.Items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	if len(body.Items) > s.pageSize {
		body.Items, body.Truncated = body.Items[:s.pageSize], true
	}
	return c.JSON(http.StatusOK, body)
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Events   []storeItem `json:"events"`
	Revision int64       `json:"storeRevision"`
}

func (s *Store) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, err := strconv.Atoi(c.QueryParam("waitMs"))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, compacted, changed, aborted := s.eventsSince(c.QueryParam("pathPrefix"), after)
		if compacted {
			return c.NoContent(http.StatusGone)
		}
		if len(body.Events) > 0 {
			return c.JSON(http.StatusOK, body)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, body)
		case <-aborted:
			panic(http.ErrAbortHandler)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// eventsSince returns the events of a prefix after a revision, and the channels that are closed by
// the next change and by AbortWatches. compacted is set if the history no longer reaches back to
// the revision.
func (s *Store) eventsSince(prefix string, after int64) (body watchResponse, compacted bool, changed, aborted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision || after > s.revision {
		return body, true, nil, nil
	}
	body = watchResponse{Events: []storeItem{}, Revision: s.revision}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			body.Events = append(body.Events, it)
		}
	}
	return body, false, s.changed, s.abortWatches
}
