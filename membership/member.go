package membership

import "time"

// ListedVM is one VM on the platform's list.
type ListedVM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Address is where the VM's router listens for its peers.
	Address string `json:"address"`
	// Leaving is set while the platform drains the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// member is what is known of another VM.
type member struct {
	listed  bool
	leaving bool
	// announcedLeave is set when the VM itself told that it shuts down.
	announcedLeave bool
	incarnation    uint64
	lastMessageAt  time.Time
}
