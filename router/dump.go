package router

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// Dump is the full state of a router process, without secrets.
type Dump struct {
	Name          string             `json:"name"`
	FailureDomain string             `json:"failureDomain"`
	Ready         bool               `json:"ready"`
	Watching      bool               `json:"watchingPlatform"`
	PlatformCalls int64              `json:"platformCalls"`
	PeerBytes     int64              `json:"peerBytesSent"`
	PeerMessages  map[string]int64   `json:"peerMessagesSent"`
	PeerDropped   int64              `json:"peerNotificationsDropped"`
	Held          bundle.VersionID   `json:"bundleHeld"`
	InForce       bundle.VersionID   `json:"bundleInForce"`
	Conflicts     []bundle.VersionID `json:"bundleConflicts,omitempty"`
	// MajorityReported is set once a majority of the listed VMs have reported
	// which bundle they hold.
	MajorityReported bool                  `json:"bundleHeardMajority"`
	Votes            int                   `json:"votes"`
	StoredResponses  int                   `json:"answersKept"`
	VMs              []membership.ListedVM `json:"vms"`
	Scheduler        sched.Dump            `json:"core"`
}

// Dump returns the current state.
func (r *Router) Dump() Dump {
	d := Dump{
		Name: r.cfg.Name, FailureDomain: r.cfg.FailureDomain, Ready: r.Ready(),
		Watching: r.watching.Load(), PlatformCalls: r.platform.Calls(),
		PeerBytes: r.mesh.BytesSent(), PeerMessages: r.mesh.MessagesSent(), PeerDropped: r.mesh.NotificationsDropped(),
	}
	r.inspect(func(c *controller) {
		d.Held, d.InForce, d.Conflicts = c.acceptor.Latest(), c.acceptor.InForce(), c.acceptor.Conflicts()
		d.MajorityReported = c.acceptor.Ready()
		d.Votes, d.StoredResponses, d.VMs = c.voter.Len(), c.records.Len(), c.listedVMs
		d.Scheduler = c.node.Dump(time.Now())
	})
	return d
}
