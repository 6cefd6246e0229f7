package idempotency

import (
	"net/http"
	"time"
)

// MaxResponseBytes is the largest answer body that is kept for repeats, in bytes.
const MaxResponseBytes = 64 << 10

// Response is the first run's answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// State is how far a key's run is.
type State string

// States of a key at the router that owns it.
const (
	// Absent: this router never won the key, or gave it up.
	Absent State = "absent"
	// Running: the request may be on its way.
	Running State = "running"
	// Done: the answer is known.
	Done State = "done"
	// Lost: the request was sent and its answer never came, or is too large to keep.
	Lost State = "lost"
)

// Record is what the owner of a key knows.
type Record struct {
	State    State     `json:"state"`
	Response *Response `json:"answer,omitempty"`
}

// entry is a record with its time and those who wait for it.
type entry struct {
	Record
	at   time.Time
	done chan struct{}
}

// RecordStore keeps the records of the keys that this router owns. It is not safe
// for concurrent use.
type RecordStore struct {
	cfg  Config
	keys map[string]*entry
}

// NewRecordStore returns an empty table.
func NewRecordStore(cfg Config) *RecordStore {
	return &RecordStore{cfg: cfg, keys: map[string]*entry{}}
}

// Begin notes that the key's claim was won here.
func (a *RecordStore) Begin(now time.Time, key string) {
	a.sweep(now)
	a.keys[key] = &entry{Record: Record{State: Running}, at: now, done: make(chan struct{})}
}

// Complete notes the answer; nil if it was lost.
func (a *RecordStore) Complete(key string, answer *Response) {
	e, ok := a.keys[key]
	if !ok || e.State != Running {
		return
	}
	e.Record = Record{State: Lost}
	if answer != nil && len(answer.Body) <= MaxResponseBytes {
		e.Record = Record{State: Done, Response: answer}
	}
	close(e.done)
}

// Abandon forgets a key that was given up without being sent.
func (a *RecordStore) Abandon(key string) {
	if e, ok := a.keys[key]; ok && e.State == Running {
		delete(a.keys, key)
		close(e.done)
	}
}

// Get returns the record of a key and, while it runs, a channel that closes
// when it has ended.
func (a *RecordStore) Get(key string) (Record, <-chan struct{}) {
	e, ok := a.keys[key]
	if !ok {
		return Record{State: Absent}, nil
	}
	if e.State != Running {
		return e.Record, nil
	}
	return e.Record, e.done
}

// sweep forgets records that no repeat can ask for any more.
func (a *RecordStore) sweep(now time.Time) {
	for key, e := range a.keys {
		if e.State != Running && now.Sub(e.at) > a.cfg.Retention {
			delete(a.keys, key)
		}
	}
}

// Len is the number of records.
func (a *RecordStore) Len() int { return len(a.keys) }
