package membership

import "time"

// ListedVM is one VM on the platform's list.
type ListedVM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Address is the address at which the VM's router listens for its peers.
	Address string `json:"address"`
	// Leaving is true while the platform drains the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// member is the state recorded for another VM.
type member struct {
	listed  bool
	leaving bool
	// announcedLeave is true once the VM itself announced that it is shutting down.
	announcedLeave bool
	incarnation    uint64
	lastMessageAt  time.Time
}
