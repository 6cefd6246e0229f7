package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// shedList collects the requests that the gateway refuses without asking a home, until the
// control goroutine reports them. During a flood there are thousands per second, and one event
// for each would cost as much as refusing them saves.
type shedList struct {
	mu   sync.Mutex
	list []shedEntry
}

type shedEntry struct {
	service     string
	request     dispatch.Request
	fingerprint dispatch.Fingerprint
	at          boottime.Time
}

// shedKey identifies the requests that are sent in one report.
type shedKey struct {
	group groupKey
	team  string
}

const (
	// maxShedEntries limits the requests that are collected between two ticks. Further
	// requests are dropped, and their callers count as new when they retry.
	maxShedEntries = 1024
	// maxShedPerDatagram keeps a datagram below 1 kB, at 15 bytes per request.
	maxShedPerDatagram = 60
)

// ReportShed implements gateway.Placer.
func (n *Node) ReportShed(service string, r dispatch.Request) {
	f, ok := dispatch.FingerprintOf(&r)
	if !ok {
		return
	}
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	if len(n.shed.list) < maxShedEntries {
		n.shed.list = append(n.shed.list, shedEntry{service: service, request: r, fingerprint: f, at: n.now()})
	}
}

// reportShed reports the requests that were shed since the last call to their homes.
func (n *Node) reportShed(now boottime.Time) {
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
		key := shedKey{group: groupKey{service: e.service, index: n.groupOfRequest(s, e.service, &e.request)}, team: e.request.Team}
		byTeam[key] = append(byTeam[key], e)
	}
	for key, entries := range byTeam {
		n.sendShedReports(now, key, entries)
	}
}

func (n *Node) sendShedReports(now boottime.Time, key shedKey, entries []shedEntry) {
	g := n.group(now, key.group)
	if g == nil {
		return
	}
	home := n.homeOf(now, g)
	for part := range slices.Chunk(entries, maxShedPerDatagram) {
		m := newShedReport(now, key, part)
		if home == nil {
			n.handleShedReport(now, n.self, m)
			continue
		}
		n.send(home.addr, &packet{Infrequent: &infrequent{Shed: m}})
	}
}

func newShedReport(now boottime.Time, key shedKey, entries []shedEntry) *shedReport {
	m := &shedReport{Service: key.group.service, Group: key.group.index, Team: key.team}
	tokens := 0.0
	for _, e := range entries {
		tokens += dispatch.ChargedTokens(&e.request)
		m.Requests = append(m.Requests, shedRequest{
			Fingerprint: uint64(e.fingerprint), AgeMs: millis(now.Sub(e.at)), TimeoutMs: millis(e.request.Timeout),
		})
	}
	m.Tokens = int(tokens)
	return m
}

// handleShedReport records the requests that a router has shed, as the home of the group.
func (n *Node) handleShedReport(now boottime.Time, from uint64, m *shedReport) {
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
			Fingerprint: dispatch.Fingerprint(r.Fingerprint), Age: duration(r.AgeMs), Timeout: duration(r.TimeoutMs),
		})
	}
	g.core.RecordShed(time.Duration(now), from, m.Team, float64(max(m.Tokens, 0)), requests)
}
