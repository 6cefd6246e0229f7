package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Store is the users' metadata store: keys with revisions that can be read,
// listed by prefix in pages, and watched. Faults are set from outside.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	changed   chan struct{}
	pageSize  int
	fault     StoreFault
	// faults are those of single callers, by the name of their handler.
	faults map[string]StoreFault
	// cut is closed to cut all waiting watches.
	cut   chan struct{}
	calls int
	// delay is how long each answer takes.
	delay time.Duration
}

// StoreFault is what goes wrong with calls.
type StoreFault uint8

// Faults of a store.
const (
	// StoreHealthy answers.
	StoreHealthy StoreFault = iota
	// StoreUnavailable answers 503.
	StoreUnavailable
	// StoreRateLimited answers 429.
	StoreRateLimited
	// StoreUnresponsive never answers.
	StoreUnresponsive
	// StoreConnectionReset breaks the connection.
	StoreConnectionReset
)

// storeItem is an entry as it was written; a deletion has Tombstone set.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storePage is the size of a page, in items, unless a test sets another.
const storePage = 500

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]storeItem{}, faults: map[string]StoreFault{},
		changed: make(chan struct{}), cut: make(chan struct{}), pageSize: storePage,
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

// Compact drops the history, so that older watches must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.revision
}

// SetFault makes calls fail.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetFaultFor makes the calls of one caller fail, while others are served.
func (s *Store) SetFaultFor(caller string, f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = f
}

// AbortWatches breaks all watches that wait.
func (s *Store) AbortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// SetRevision sets the count of changes, as of a store that has been in use.
func (s *Store) SetRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

// SetPageSize sets the size of a page.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// SetDelay makes each answer take a while.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls is the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the routes.
func (s *Store) Handler() http.Handler { return s.HandlerFor("") }

// HandlerFor returns the routes as one caller reaches them.
func (s *Store) HandlerFor(caller string) http.Handler {
	e := echo.New()
	e.HideBanner = true
	v1 := e.Group("/v1", func(next echo.HandlerFunc) echo.HandlerFunc { return s.spoil(caller, next) })
	v1.GET("/kv-range", s.getRange)
	v1.GET("/kv-watch", s.watch)
	return e
}

// spoil counts a call and applies the fault.
func (s *Store) spoil(caller string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		s.calls++
		fault, delay := max(s.fault, s.faults[caller]), s.delay
		s.mu.Unlock()
		time.Sleep(delay)
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

// rangeBody is the answer to a range read.
type rangeBody struct {
	Items     []storeItem `json:"items"`
	Truncated bool        `json:"truncated"`
	Revision  int64       `json:"storeRevision"`
}

func (s *Store) getRange(c echo.Context) error {
	prefix, after := c.QueryParam("pathPrefix"), c.QueryParam("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rangeBody{Items: []storeItem{}, Revision: s.revision}
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

// watchBody is the answer to a watch.
type watchBody struct {
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
		body, gone, changed, cut := s.since(c.QueryParam("pathPrefix"), after)
		if gone {
			return c.NoContent(http.StatusGone)
		}
		if len(body.Events) > 0 {
			return c.JSON(http.StatusOK, body)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, body)
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// since returns the events after a revision, and what tells of the next and of a
// cut.
func (s *Store) since(prefix string, after int64) (body watchBody, gone bool, changed, cut chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return body, true, nil, nil
	}
	body = watchBody{Events: []storeItem{}, Revision: s.revision}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			body.Events = append(body.Events, it)
		}
	}
	return body, false, s.changed, s.cut
}
