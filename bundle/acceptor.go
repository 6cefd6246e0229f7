package bundle

import (
	"maps"
	"slices"
)

// VersionID names one content of one version.
type VersionID struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Later reports whether m is of a later version than o.
func (m VersionID) Later(o VersionID) bool { return m.Version > o.Version }

// OfferResult is what an Acceptor made of an offer.
type OfferResult int

// Verdicts on an offered bundle.
const (
	// Accepted: this router now holds the offer as its latest version.
	Accepted OfferResult = iota
	// Duplicate: the offer is what is held already.
	Duplicate
	// Stale: a later version is held; the offer is refused.
	Stale
	// Conflict: the same version with other content is held; the offer is
	// refused and operators must be told.
	Conflict
)

// Acceptor decides which version is in force at one router.
//
// A router holds at most one content of a version, the first it saw, and never
// an older version after a newer one. A version comes in force here once a
// majority of the listed VMs hold the same content. Two operators who roll out
// different contents as one version thus can't both succeed: a majority can't
// hold both. And an accepted version can't be lost by restarts of a minority:
// a restarted router has no memory, so it serves nothing before it has heard a
// majority, and at least one of those holds the accepted version.
//
// Invariant: inForce.Version never falls within one process.
type Acceptor struct {
	self    string
	listed  []string
	held    VersionID
	inForce VersionID
	heard   map[string]VersionID
	// conflicts are contents refused for a version that is held with another.
	conflicts map[VersionID]bool
}

// NewAcceptor returns the acceptor of a router that has just started.
func NewAcceptor(self string) *Acceptor {
	return &Acceptor{
		self:      self,
		listed:    []string{self},
		heard:     map[string]VersionID{},
		conflicts: map[VersionID]bool{},
	}
}

// SetVoters names the VMs whose majority decides. What dropped VMs held no longer
// counts.
func (a *Acceptor) SetVoters(names []string) {
	a.listed = slices.Clone(names)
	if !slices.Contains(a.listed, a.self) {
		a.listed = append(a.listed, a.self)
	}
	a.decide()
}

// Offer judges a verified bundle from the platform or from a peer.
func (a *Acceptor) Offer(m VersionID) OfferResult {
	switch {
	case m == a.held:
		return Duplicate
	case m.Version < a.held.Version:
		return Stale
	case m.Version == a.held.Version:
		return a.conflict(m)
	}
	a.held = m
	a.decide()
	return Accepted
}

// conflict refuses another content of the held version, unless a majority holds
// it: then it is the accepted one, and this router was on the losing side of a
// race between two operators.
func (a *Acceptor) conflict(m VersionID) OfferResult {
	if a.inForce != a.held && a.holders(m) >= a.majority() {
		a.held = m
		a.decide()
		return Accepted
	}
	a.conflicts[m] = true
	return Conflict
}

// RecordPeer notes what a peer holds. It returns true if this router should fetch it:
// the peer's is later, or it is the accepted content of the held version.
func (a *Acceptor) RecordPeer(peer string, m VersionID) bool {
	a.heard[peer] = m
	a.decide()
	if m.Later(a.held) {
		return true
	}
	return m.Version == a.held.Version && m != a.held && a.inForce != a.held &&
		a.holders(m) >= a.majority()
}

// decide puts the held version in force once a majority holds it.
func (a *Acceptor) decide() {
	if a.held.Later(a.inForce) && a.holders(a.held) >= a.majority() {
		a.inForce = a.held
	}
}

func (a *Acceptor) majority() int { return len(a.listed)/2 + 1 }

// holders counts the listed VMs that hold exactly the mark. Who holds a later
// version may have held another content of this one before.
func (a *Acceptor) holders(m VersionID) int {
	n := 0
	for _, name := range a.listed {
		held := a.heard[name]
		if name == a.self {
			held = a.held
		}
		if held == m {
			n++
		}
	}
	return n
}

// Ready reports whether a majority of the listed VMs, this one included, have
// told what they hold. Before that a restarted router can't know whether the
// version that the platform gives is older than the accepted one.
func (a *Acceptor) Ready() bool {
	told := 1
	for _, name := range a.listed {
		if _, ok := a.heard[name]; ok && name != a.self {
			told++
		}
	}
	return told >= a.majority()
}

// InForce is the version that this router acts by; zero for none yet.
func (a *Acceptor) InForce() VersionID { return a.inForce }

// Latest is the latest version held here, in force or not.
func (a *Acceptor) Latest() VersionID { return a.held }

// Conflicts returns the refused contents, by version.
func (a *Acceptor) Conflicts() []VersionID {
	return slices.SortedFunc(maps.Keys(a.conflicts), func(x, y VersionID) int {
		return int(x.Version) - int(y.Version)
	})
}
