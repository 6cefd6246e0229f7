package ctl

import (
	"net"
	"net/url"
	"strconv"
	"time"
)

// platformDump is what is read of the state that a router on the platform tells at its
// control listener.
type platformDump struct {
	Ready         bool  `json:"ready"`
	Stopping      bool  `json:"stopping"`
	ConfigVersion int64 `json:"configVersion"`
	Node          struct {
		Domain  string `json:"failureDomain"`
		Hub     bool   `json:"hub"`
		Reads   bool   `json:"readsPlatform"`
		AgeMs   int64  `json:"ageMs"`
		Pending int    `json:"pending"`
		Held    int    `json:"held"`
		Members []struct {
			Address string `json:"address"`
		} `json:"members"`
		Router    uint64   `json:"router"`
		Evacuated []string `json:"evacuated"`
		Groups    []struct {
			Home  uint64 `json:"home"`
			State struct {
				Warming int `json:"warming"`
			} `json:"state"`
		} `json:"groups"`
	} `json:"node"`
}

func (d *platformDump) status(base string) RouterStatus {
	return RouterStatus{
		Router: base, FailureDomain: d.Node.Domain, Role: d.role(), State: stateOf(d.Ready, d.Stopping),
		Version: strconv.FormatInt(d.ConfigVersion, 10), Peers: len(d.Node.Members),
		Waiting: d.Node.Pending, Running: d.Node.Held, ViewAge: time.Duration(d.Node.AgeMs) * time.Millisecond,
		Evacuated: d.Node.Evacuated, Warming: d.warming(),
	}
}

// warming is the number of upstreams that are warming up in the groups of which the router is
// the home.
func (d *platformDump) warming() int {
	sum := 0
	for _, g := range d.Node.Groups {
		if g.Home == d.Node.Router {
			sum += g.State.Warming
		}
	}
	return sum
}

func (d *platformDump) role() Role {
	switch {
	case d.Node.Hub:
		return RoleHub
	case d.Node.Reads:
		return RoleReader
	}
	return RoleRouter
}

// Discover adds all routers that a router hears to the ones asked, at its own control
// port. It asks one after the other until one answers.
func (c *Client) Discover() error {
	for _, base := range c.admins {
		var d platformDump
		if err := c.get(base, "/dump", &d); err != nil {
			continue
		}
		return c.addPeers(base, &d)
	}
	return Error.New("none of %d routers answered", len(c.admins))
}

func (c *Client) addPeers(base string, d *platformDump) error {
	at, err := url.Parse(base)
	if err != nil {
		return Error.Wrap(err)
	}
	known := map[string]bool{}
	for _, b := range c.admins {
		known[b] = true
	}
	for _, m := range d.Node.Members {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil {
			return Error.Wrap(err)
		}
		peer := url.URL{Scheme: at.Scheme, Host: net.JoinHostPort(host, at.Port())}
		if b := peer.String(); !known[b] {
			known[b] = true
			c.admins = append(c.admins, b)
		}
	}
	return nil
}
