package ctl

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// platformDump is the part that ctl reads of the state dump that a router on the platform
// serves at its control listener.
type platformDump struct {
	Ready         bool  `json:"ready"`
	Stopping      bool  `json:"stopping"`
	ConfigVersion int64 `json:"configVersion"`
	Node          struct {
		Domain        string `json:"failureDomain"`
		Hub           bool   `json:"hub"`
		ReadsPlatform bool   `json:"readsPlatform"`
		AgeMs         int64  `json:"ageMs"`
		Pending       int    `json:"pending"`
		InFlight      int    `json:"held"`
		Members       []struct {
			Address string `json:"address"`
		} `json:"members"`
		Router    uint64   `json:"router"`
		Evacuated []string `json:"evacuated"`
		Epoch     int64    `json:"epoch"`
		Versions  []struct {
			Service    string `json:"service"`
			Version    string `json:"version"`
			Registered int    `json:"registered"`
			Ready      int    `json:"ready"`
		} `json:"versions"`
		Quarantine []QuarantinedKey `json:"quarantine"`
		Entry      entryDump        `json:"entry"`
		Groups     []struct {
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
		Waiting: d.Node.Pending, Running: d.Node.InFlight, ViewAge: time.Duration(d.Node.AgeMs) * time.Millisecond,
		Evacuated: d.Node.Evacuated, Warming: d.warming(),
		Epoch: d.Node.Epoch, Software: d.software(), Quarantine: d.quarantined(),
		Entry: d.Node.Entry.String(), OutOfLoadBalancer: d.Node.Entry.Out,
	}
}

// quarantined returns the keys in quarantine at the router.
func (d *platformDump) quarantined() []QuarantinedKey {
	return slices.DeleteFunc(d.Node.Quarantine, func(k QuarantinedKey) bool { return k.Status != statusQuarantined })
}

// software returns the software versions of the upstreams in the router's state.
func (d *platformDump) software() []SoftwareVersion {
	var versions []SoftwareVersion
	for _, v := range d.Node.Versions {
		versions = append(versions, SoftwareVersion{Service: v.Service, Version: v.Version, Registered: v.Registered, Ready: v.Ready})
	}
	return versions
}

// warming returns the number of upstreams that are warming up in the groups whose home the
// router is.
func (d *platformDump) warming() int {
	warming := 0
	for _, g := range d.Node.Groups {
		if g.Home == d.Node.Router {
			warming += g.State.Warming
		}
	}
	return warming
}

func (d *platformDump) role() Role {
	switch {
	case d.Node.Hub:
		return RoleHub
	case d.Node.ReadsPlatform:
		return RoleReader
	}
	return RoleRouter
}

// Discover adds the members listed by the first router that answers to the routers that
// the client queries. It assumes that all routers use that router's control port.
func (c *Client) Discover() error {
	for _, base := range c.baseURLs {
		var d platformDump
		if err := c.get(base, "/dump", &d); err != nil {
			continue
		}
		return c.addPeers(base, &d)
	}
	return Error.New("none of %d routers answered", len(c.baseURLs))
}

func (c *Client) addPeers(base string, d *platformDump) error {
	baseURL, err := url.Parse(base)
	if err != nil {
		return Error.Wrap(err)
	}
	seen := map[string]bool{}
	for _, b := range c.baseURLs {
		seen[b] = true
	}
	for _, m := range d.Node.Members {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil {
			return Error.Wrap(err)
		}
		peer := url.URL{Scheme: baseURL.Scheme, Host: net.JoinHostPort(host, baseURL.Port())}
		if b := peer.String(); !seen[b] {
			seen[b] = true
			c.baseURLs = append(c.baseURLs, b)
		}
	}
	return nil
}
