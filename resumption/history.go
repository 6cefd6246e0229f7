package resumption

import "time"

const (
	// maxUnseen is the longest time without a confirmed state after which the history still counts
	// as complete. An upstream serves longer than that between its registration and its removal: it
	// drains for two seconds, or misses three heartbeats.
	maxUnseen = 2 * time.Second
	// maxWindow limits the time for which versions that have ended are recorded.
	maxWindow = 2 * time.Minute
)

// Versions are the software versions of the registered upstreams of each service, "" for an
// unknown one.
type Versions map[string][]string

// History records which software versions have served within the last minutes, as far as this
// router has seen.
type History struct {
	// completeSince is the time from which on no version can have been missed, confirmedAt that as
	// of which the newest state was confirmed.
	completeSince, confirmedAt time.Duration
	known                      bool
	current                    Versions
	// goneAt has the times at which versions were last seen that no upstream has any more.
	goneAt map[Origin]time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{goneAt: map[Origin]time.Duration{}} }

// Update records the versions of the current state.
func (h *History) Update(now time.Duration, versions Versions) {
	present := map[Origin]bool{}
	for service, list := range versions {
		for _, version := range list {
			present[Origin{service, version}] = true
		}
	}
	for service, list := range h.current {
		for _, version := range list {
			if o := (Origin{service, version}); !present[o] {
				h.goneAt[o] = now
			}
		}
	}
	for o, at := range h.goneAt {
		if present[o] || now-at > maxWindow {
			delete(h.goneAt, o)
		}
	}
	h.current = versions
}

// Confirm records that the current state was the newest at the given time.
func (h *History) Confirm(at time.Duration) {
	if at <= h.confirmedAt && h.known {
		return
	}
	if !h.known || at-h.confirmedAt > maxUnseen {
		h.completeSince = at
	}
	h.confirmedAt, h.known = at, true
}

// Evidence is what the history shows about the version that began a stream.
type Evidence uint8

const (
	// Several: more than one version, or an unknown one, can have started it.
	Several Evidence = iota
	// Unconfirmed: only one version is known, and the state may be older than the stream.
	Unconfirmed
	// Sole: no other version can have started it.
	Sole
)

// SoleVersion returns the only version that can have started a stream of a service. The stream began
// within window before it was continued, at continuedAt; any router, even one with a newer state
// than this one, may have started it. A state that was confirmed after continuedAt contains all versions
// of that time.
func (h *History) SoleVersion(now time.Duration, service string, continuedAt, window time.Duration) (string, Evidence) {
	list := h.current[service]
	if !h.known || window > maxWindow || len(list) != 1 || list[0] == "" {
		return "", Several
	}
	for o, at := range h.goneAt {
		if o.Service == service && now-at <= window {
			return "", Several
		}
	}
	if continuedAt-h.completeSince < window {
		return "", Several
	}
	if h.confirmedAt < continuedAt {
		return list[0], Unconfirmed
	}
	return list[0], Sole
}
