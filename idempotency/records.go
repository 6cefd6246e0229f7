package idempotency

import (
	"net/http"
	"time"
)

// MaxResponseBytes is the size of the largest response body that is stored for
// repeated requests.
const MaxResponseBytes = 64 << 10

// StoredResponse is the upstream's response to the first run of a key.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// State is the state of a key's run.
type State string

// States of a key at the router that owns it.
const (
	// Absent: this router never won the key, or abandoned it.
	Absent State = "absent"
	// Running: the request may have been sent and is not complete.
	Running State = "running"
	// Done: the response is stored.
	Done State = "done"
	// Lost: the request was sent, but its response was not received or is too
	// large to store.
	Lost State = "lost"
)

// Record is the owner's record of a key.
type Record struct {
	State          State           `json:"state"`
	StoredResponse *StoredResponse `json:"answer,omitempty"`
}

// entry is a record with its start time and a channel that is closed when the run
// ends.
type entry struct {
	Record
	startedAt time.Time
	done      chan struct{}
}

// RecordStore holds the records of the keys that this router owns. It is not safe
// for concurrent use.
type RecordStore struct {
	cfg     Config
	entries map[string]*entry
}

// NewRecordStore returns an empty store.
func NewRecordStore(cfg Config) *RecordStore {
	return &RecordStore{cfg: cfg, entries: map[string]*entry{}}
}

// Begin records that this router won the key's claim.
func (s *RecordStore) Begin(now time.Time, key string) {
	s.sweep(now)
	s.entries[key] = &entry{Record: Record{State: Running}, startedAt: now, done: make(chan struct{})}
}

// Complete records the response of a running key. A nil response means that it
// was lost.
func (s *RecordStore) Complete(key string, response *StoredResponse) {
	e, ok := s.entries[key]
	if !ok || e.State != Running {
		return
	}
	e.Record = Record{State: Lost}
	if response != nil && len(response.Body) <= MaxResponseBytes {
		e.Record = Record{State: Done, StoredResponse: response}
	}
	close(e.done)
}

// Abandon removes a running key whose request was not sent.
func (s *RecordStore) Abandon(key string) {
	if e, ok := s.entries[key]; ok && e.State == Running {
		delete(s.entries, key)
		close(e.done)
	}
}

// Get returns the record of a key and, while the key is running, a channel that
// is closed when the run ends.
func (s *RecordStore) Get(key string) (Record, <-chan struct{}) {
	e, ok := s.entries[key]
	if !ok {
		return Record{State: Absent}, nil
	}
	if e.State != Running {
		return e.Record, nil
	}
	return e.Record, e.done
}

// sweep removes records that are too old for any repeat.
func (s *RecordStore) sweep(now time.Time) {
	for key, e := range s.entries {
		if e.State != Running && now.Sub(e.startedAt) > s.cfg.Retention {
			delete(s.entries, key)
		}
	}
}

// Len returns the number of records.
func (s *RecordStore) Len() int { return len(s.entries) }
