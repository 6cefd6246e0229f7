package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// shedList collects requests that the gateway refuses by itself until the control
// goroutine tells the homes: under a flood there are thousands a second, and an
// event for each would cost what refusing them saves.
type shedList struct {
	mu   sync.Mutex
	list []shedEntry
}

type shedEntry struct {
	service string
	request dispatch.Request
	print   dispatch.Fingerprint
	at      boottime.Time
}

// shedKey names what one message tells of.
type shedKey struct {
	group groupKey
	team  string
}

const (
	// maxShed bounds what is collected between two ticks; what comes above it is
	// forgotten, and its callers count as new when they come back.
	maxShed = 1024
	// shedInDatagram keeps a datagram under a kilobyte, at 15 bytes a request.
	shedInDatagram = 60
)

// Shed implements gateway.Placer.
func (n *Node) Shed(service string, r dispatch.Request) {
	f, ok := dispatch.FingerprintOf(&r)
	if !ok {
		return
	}
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	if len(n.shed.list) < maxShed {
		n.shed.list = append(n.shed.list, shedEntry{service: service, request: r, print: f, at: n.now()})
	}
}

// tellShed tells the homes what was shed since the last time.
func (n *Node) tellShed(now boottime.Time) {
	n.shed.mu.Lock()
	list := n.shed.list
	n.shed.list = nil
	n.shed.mu.Unlock()
	s := n.feed.Snapshot()
	if len(list) == 0 || s == nil {
		return
	}
	byTeam := map[shedKey][]shedEntry{}
	for _, e := range list {
		key := shedKey{group: groupKey{service: e.service, index: n.groupOf(s, e.service, &e.request)}, team: e.request.Team}
		byTeam[key] = append(byTeam[key], e)
	}
	for key, entries := range byTeam {
		n.tellShedOf(now, key, entries)
	}
}

func (n *Node) tellShedOf(now boottime.Time, key shedKey, entries []shedEntry) {
	g := n.group(now, key.group)
	if g == nil {
		return
	}
	home := n.homeOf(now, g)
	for part := range slices.Chunk(entries, shedInDatagram) {
		m := newShed(now, key, part)
		if home == nil {
			n.takeShed(now, n.self, m)
			continue
		}
		n.send(home.addr, &packet{Infrequent: &infrequent{Shed: m}})
	}
}

func newShed(now boottime.Time, key shedKey, entries []shedEntry) *shed {
	m := &shed{Service: key.group.service, Group: key.group.index, Team: key.team}
	tokens := 0.0
	for _, e := range entries {
		tokens += dispatch.ChargedTokens(&e.request)
		m.Requests = append(m.Requests, shedRequest{
			Fingerprint: uint64(e.print), AgoMs: millis(now.Sub(e.at)), LeftMs: millis(e.request.Timeout),
		})
	}
	m.Tokens = int(tokens)
	return m
}

// takeShed takes in what a router has shed, as the home of the group.
func (n *Node) takeShed(now boottime.Time, from uint64, m *shed) {
	if n.feed.Snapshot() == nil {
		return
	}
	g := n.group(now, groupKey{service: m.Service, index: m.Group})
	if g == nil {
		return
	}
	var requests []dispatch.ShedRequest
	for _, r := range m.Requests {
		requests = append(requests, dispatch.ShedRequest{
			Fingerprint: dispatch.Fingerprint(r.Fingerprint), Age: duration(r.AgoMs), Timeout: duration(r.LeftMs),
		})
	}
	g.core.RecordShed(time.Duration(now), from, m.Team, float64(max(m.Tokens, 0)), requests)
}
