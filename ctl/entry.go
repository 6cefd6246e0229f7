package ctl

import (
	"fmt"
	"time"
)

// entryDump is the part of a router's dump about its readiness under overload.
type entryDump struct {
	Out               bool   `json:"out"`
	LeftMs            int64  `json:"leftMs"`
	Overloaded        bool   `json:"overloaded"`
	OpenedConnections int64  `json:"openedConnections"`
	TurnedAway        int64  `json:"turnedAway"`
	Requests          int64  `json:"requests"`
	Busy              int64  `json:"busy"`
	WithinMs          int64  `json:"withinMs"`
	Refusal           string `json:"refusal"`
	RefusedMs         int64  `json:"refusedMs"`
}

// recentRefusal is the age up to which the hub's refusal explains why an overloaded router is ready.
// The router asks once a second.
const recentRefusal = 3 * time.Second

// String describes why the router is out of the load balancer, or overloaded and not out. It is
// empty if the router is neither.
func (d *entryDump) String() string {
	load := fmt.Sprintf("turned away %d of %d connections and refused %d of %d requests as busy within %d ms",
		d.TurnedAway, d.OpenedConnections+d.TurnedAway, d.Busy, d.Requests, d.WithinMs)
	switch {
	case d.Out:
		left := time.Duration(d.LeftMs) * time.Millisecond
		return fmt.Sprintf("out of the load balancer for up to %.1f s more: %s", left.Seconds(), load)
	case !d.Overloaded:
		return ""
	case d.Refusal != "" && time.Duration(d.RefusedMs)*time.Millisecond <= recentRefusal:
		return fmt.Sprintf("overloaded, may not leave the load balancer (%s): %s", d.Refusal, load)
	}
	return "overloaded: " + load
}
