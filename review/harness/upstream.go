package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Upstream is a runner of the plain service. It answers each request after Work.
type Upstream struct {
	ID      string
	Zone    string
	Address string
	Work    time.Duration
	record  *Record
	// Every garbleEvery-th answer is garbageBytes bytes that are no response, if it isn't 0.
	garbleEvery, garbageBytes, answers atomic.Int64
}

// Garble makes the upstream send bytes that are not a response instead of every n-th answer; 0 ends it.
func (u *Upstream) Garble(every, bytes int64) {
	u.garbageBytes.Store(bytes)
	u.garbleEvery.Store(every)
}

// linkBytesPerS is the rate of a machine's link, 1,000 Mbit/s.
const linkBytesPerS = 125_000_000

// sendGarbage sends bytes that are not a response, at the rate of a link, and closes the connection. It
// stops when the connection is closed.
func (u *Upstream) sendGarbage(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	piece := bytes.Repeat([]byte{0xa5}, linkBytesPerS/100)
	sent, began := int64(0), time.Now()
	for sent < u.garbageBytes.Load() && err == nil {
		var n int
		n, err = conn.Write(piece)
		sent += int64(n)
		time.Sleep(time.Duration(sent*int64(time.Second)/linkBytesPerS) - time.Since(began))
	}
	u.record.Add("upstream %s answered %s with %d bytes that are no response: %v", u.ID, id, sent, err)
}

// NewUpstream starts an upstream that registers in the store, and writes there each 1.2 s.
func NewUpstream(id, zone string, work time.Duration, store *Store, record *Record) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{ID: id, Zone: zone, Address: l.Addr().String(), Work: work, record: record}
	go func() { _ = http.Serve(l, u) }()
	go u.beat(store)
	return u, nil
}

func (u *Upstream) beat(store *Store) {
	for sequence := 1; ; sequence++ {
		value, err := json.Marshal(map[string]any{
			"service": AppName, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": sequence,
		})
		if err != nil {
			panic(err) // plain values can always be encoded
		}
		store.Put("servers/"+u.ID, value)
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Aspenswitch-Instance-Id", u.ID)
		return
	}
	id := r.Header.Get("X-Aspenswitch-Request-Id")
	if target := r.Header.Get("X-Aspenswitch-Target-Instance"); target != "" && target != u.ID {
		w.Header().Set("X-Aspenswitch-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Aspenswitch-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.record.Add("upstream %s: the body of %s broke off", u.ID, id)
		return
	}
	u.record.Add("upstream %s runs %s (%d bytes)", u.ID, id, size)
	time.Sleep(u.Work)
	if every := u.garbleEvery.Load(); every > 0 && u.answers.Add(1)%every == 0 {
		u.sendGarbage(w, id)
		return
	}
	w.Header().Set("X-Aspenswitch-Request-Id", id)
	w.Header().Set("X-Aspenswitch-Response-Seal", "3e1b."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", u.ID, id) // the router may have disconnected
}
