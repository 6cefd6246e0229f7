package bundle

import (
	"maps"
	"slices"
)

// VersionID identifies one content of one bundle version.
type VersionID struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Later reports whether v has a higher version number than other. Digests are
// not compared.
func (v VersionID) Later(other VersionID) bool { return v.Version > other.Version }

// OfferResult is the outcome of Acceptor.Offer.
type OfferResult int

// Results of an offer.
const (
	// Accepted means that this router now holds the offered version as its latest.
	Accepted OfferResult = iota
	// Duplicate means that the offered version is the one already held.
	Duplicate
	// Stale means that the offer was refused because a later version is held.
	Stale
	// Conflict means that the offer was refused because the same version is held
	// with other content. The caller must report it to the operators.
	Conflict
)

// Acceptor decides by quorum which bundle version is in force at one router.
//
// A router holds at most one content of a version, the first that it received
// unless a majority holds another, and never an older version after a newer one.
// A version is in force at this router once a majority of the voters hold the
// same content. If two operators roll out different contents as the same version,
// at most one of them takes effect, because no two contents can both have a
// majority. Restarts of a minority can't lose an accepted version: a restarted
// router has no stored state, so it serves no requests until a majority has
// reported, and at least one router of that majority holds the accepted version.
//
// Invariant: inForce.Version never decreases within one process.
type Acceptor struct {
	self    string
	voters  []string
	latest  VersionID
	inForce VersionID
	peers   map[string]VersionID
	// conflicts holds the refused contents of versions held with other content.
	conflicts map[VersionID]bool
}

// NewAcceptor returns the acceptor of the router named self. It holds no version,
// and self is the only voter until SetVoters is called.
func NewAcceptor(self string) *Acceptor {
	return &Acceptor{
		self:      self,
		voters:    []string{self},
		peers:     map[string]VersionID{},
		conflicts: map[VersionID]bool{},
	}
}

// SetVoters sets the VMs whose majority decides; self is added if it is missing.
// The versions that removed VMs reported no longer count.
func (a *Acceptor) SetVoters(names []string) {
	a.voters = slices.Clone(names)
	if !slices.Contains(a.voters, a.self) {
		a.voters = append(a.voters, a.self)
	}
	a.updateInForce()
}

// Offer processes a bundle received from the platform or from a peer. The caller
// must have verified its signatures.
func (a *Acceptor) Offer(v VersionID) OfferResult {
	switch {
	case v == a.latest:
		return Duplicate
	case v.Version < a.latest.Version:
		return Stale
	case v.Version == a.latest.Version:
		return a.resolveConflict(v)
	}
	a.latest = v
	a.updateInForce()
	return Accepted
}

// resolveConflict refuses another content of the held version, unless a majority
// holds it. In that case it is the accepted content and replaces the held one,
// which lost a race between two operators.
func (a *Acceptor) resolveConflict(v VersionID) OfferResult {
	if a.inForce != a.latest && a.countHolders(v) >= a.majority() {
		a.latest = v
		a.updateInForce()
		return Accepted
	}
	a.conflicts[v] = true
	return Conflict
}

// RecordPeer records the version that a peer holds. It returns true if this router
// should fetch it: the version is later than the held one, or a majority holds it
// as the content of the held version.
func (a *Acceptor) RecordPeer(peer string, v VersionID) bool {
	a.peers[peer] = v
	a.updateInForce()
	if v.Later(a.latest) {
		return true
	}
	return v.Version == a.latest.Version && v != a.latest && a.inForce != a.latest &&
		a.countHolders(v) >= a.majority()
}

// updateInForce puts the latest version in force once a majority holds it.
func (a *Acceptor) updateInForce() {
	if a.latest.Later(a.inForce) && a.countHolders(a.latest) >= a.majority() {
		a.inForce = a.latest
	}
}

func (a *Acceptor) majority() int { return len(a.voters)/2 + 1 }

// countHolders returns the number of voters that hold exactly v. Voters with a later
// version don't count, since they may have held other content of this version before.
func (a *Acceptor) countHolders(v VersionID) int {
	n := 0
	for _, name := range a.voters {
		held := a.peers[name]
		if name == a.self {
			held = a.latest
		}
		if held == v {
			n++
		}
	}
	return n
}

// Ready reports whether a majority of the voters, this router included, have
// reported the version they hold. Before that, a restarted router can't determine
// whether the platform's version is older than the accepted one.
func (a *Acceptor) Ready() bool {
	reported := 1
	for _, name := range a.voters {
		if _, ok := a.peers[name]; ok && name != a.self {
			reported++
		}
	}
	return reported >= a.majority()
}

// InForce returns the version that this router applies, or zero if there is none yet.
func (a *Acceptor) InForce() VersionID { return a.inForce }

// Latest returns the latest version held here, in force or not.
func (a *Acceptor) Latest() VersionID { return a.latest }

// Conflicts returns the refused contents, sorted by version.
func (a *Acceptor) Conflicts() []VersionID {
	return slices.SortedFunc(maps.Keys(a.conflicts), func(x, y VersionID) int {
		return int(x.Version) - int(y.Version)
	})
}
