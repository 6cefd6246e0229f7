package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/standin"
)

// ServingSpan is the time in which an upstream of a software version accepted requests.
type ServingSpan struct {
	Upstream string        `json:"upstream"`
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	From     time.Duration `json:"from"`
	// To is 0 until the end.
	To time.Duration `json:"to"`
}

// version returns the software version of the current incarnation.
func (e *endpoint) version() string { return "v" + strconv.Itoa(1+e.software) }

// versionSuffix returns what a runner of a version adds to its events.
func versionSuffix(version string) string { return " " + version }

// recordServing records that the current incarnation begins or ends to accept requests.
func (e *endpoint) recordServing(begins bool) {
	id, service, version := e.entry.ID, e.entry.Service, e.version()
	e.rec.Add(func(h *History) {
		if begins {
			h.Serving = append(h.Serving, ServingSpan{Upstream: id, Service: service, Version: version, From: e.rec.Now()})
			return
		}
		for i := range h.Serving {
			if h.Serving[i].Upstream == id && h.Serving[i].To == 0 {
				h.Serving[i].To = e.rec.Now()
			}
		}
	})
}

// upgrade performs a graceful leave; the next incarnation runs the next version.
func (e *endpoint) upgrade(delay time.Duration) error {
	if !e.beginReplacement() {
		return nil
	}
	return e.leaveForGood(delay, func() { e.software++ })
}

// release upgrades the upstreams of a fault's service one after the other.
func (d *deployment) release(f Fault) error {
	first := f.Target / d.cfg.Upstreams * d.cfg.Upstreams
	gap := f.ActiveFor / time.Duration(d.cfg.Upstreams)
	for _, e := range d.endpoints[first : first+d.cfg.Upstreams] {
		go func() { _ = e.upgrade(0) }() // it may be replaced already
		time.Sleep(gap)
	}
	return nil
}

// checkStream checks a stream's events: complete ones of a single software version, in order, from
// the first that the caller lacks, followed by at most a part of the next. It records the version and
// the last complete event.
func checkStream(req *Request, body string) string {
	rest, next := body, req.After+1
	req.Events = req.After
	for next <= streamEvents {
		version, found := eventVersion(rest)
		if !found {
			break
		}
		if req.Version == "" {
			req.Version = version
		}
		event := standin.StreamEvent(req.ID, next, versionSuffix(req.Version))
		if !strings.HasPrefix(rest, event) {
			return fmt.Sprintf("event %d isn't the next one of version %s: %.60q", next, req.Version, rest)
		}
		rest, req.Events = rest[len(event):], next
		next++
	}
	switch {
	case req.Complete && (rest != "" || req.Events < streamEvents):
		return fmt.Sprintf("complete response with the events up to %d of %d and %d bytes more", req.Events, streamEvents, len(rest))
	case rest != "" && !strings.HasPrefix(standin.StreamEvent(req.ID, next, versionSuffix(req.Version)), rest):
		return "stream with missing, duplicated or foreign events"
	}
	return ""
}

// eventVersion returns the version in the first event of a body, false if that isn't complete.
func eventVersion(body string) (string, bool) {
	event, _, complete := strings.Cut(body, "\n\n")
	fields := strings.Fields(event)
	if !complete || len(fields) == 0 {
		return "", false
	}
	return fields[len(fields)-1], true
}

// streamVersions: a stream continues at the software version that began it.
func (c *checker) streamVersions() {
	for _, req := range c.h.Requests {
		if req.Continues == "" || req.Version == "" {
			continue
		}
		if first := c.byID[req.Continues]; first.Version != "" && first.Version != req.Version {
			c.report("one version a stream", req.Ended, "%s at router %d continues %s of version %s at %s", req.ID, req.Router, first.ID, first.Version, req.Version)
		}
	}
}

const (
	// minContinuations is the least number of continued streams for which their ratio is checked.
	minContinuations = 12
	// minServing is the least number of upstreams of a version that must serve.
	minServing = 2
)

// continuations: while two upstreams of its version serve, a broken stream continues at least half as
// often as a new one begins.
func (c *checker) continuations() {
	continued, served, begun, attempts := 0, 0, 0, 0
	for _, req := range c.h.Requests {
		if req.Kind != ResumableStream || req.Abandoned || c.affected(req.Router, req.Sent-faultMargin, req.Ended, storeScope) || c.revoked(req.Key) {
			continue
		}
		if req.Continues == "" {
			attempts++
			if req.Events > 0 {
				begun++
			}
			continue
		}
		if first := c.byID[req.Continues]; c.servingAt(services[1], first.Version, req.Sent-time.Second, req.Ended) < minServing {
			continue
		}
		continued++
		if req.Events > req.After {
			served++
		}
	}
	if continued >= minContinuations && served*attempts*2 < begun*continued {
		c.report("broken streams go on", 0, "%d of %d continued streams were served, %d of %d new ones", served, continued, begun, attempts)
	}
}

// servingAt returns how many upstreams of a version accepted requests throughout an interval.
func (c *checker) servingAt(service, version string, from, to time.Duration) int {
	n := 0
	for _, s := range c.h.Serving {
		if s.Service == service && s.Version == version && s.From <= from && (s.To == 0 || s.To >= to) {
			n++
		}
	}
	return n
}
