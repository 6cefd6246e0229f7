package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/admin"
)

// Client asks routers' operators' APIs.
type Client struct {
	admins []string
	token  string
	http   *http.Client
}

// requestTimeout bounds the wait for one router.
const requestTimeout = 5 * time.Second

// NewClient returns a client of the routers at the base URLs.
func NewClient(admins []string, token string) *Client {
	return &Client{admins: admins, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// Status prints the state of the fleet; routers that don't answer are told too. platform
// is set for routers on the users' platform.
func (c *Client) Status(out io.Writer, platform bool, format Format) error {
	routers := c.statuses(platform)
	o := newOverview(routers)
	if err := o.print(out, format); err != nil {
		return err
	}
	return missing(o.missing(), len(routers))
}

// statuses queries all routers and returns their statuses in the order of c.admins. A failed
// query is reported in the Error field.
func (c *Client) statuses(platform bool) []RouterStatus {
	ask := c.ownStatus
	if platform {
		ask = c.platformStatus
	}
	var routers []RouterStatus
	for _, a := range gather(c.admins, ask) {
		if a.err != nil {
			a.value = RouterStatus{Router: a.base, Error: a.err.Error()}
		}
		routers = append(routers, a.value)
	}
	return routers
}

func missing(n, of int) error {
	if n == 0 {
		return nil
	}
	return Error.New("%d of %d routers did not answer", n, of)
}

func (c *Client) ownStatus(base string) (RouterStatus, error) {
	var s admin.Status
	if err := c.get(base, "/status", &s); err != nil {
		return RouterStatus{}, err
	}
	return RouterStatus{
		Router: s.Name, FailureDomain: s.FailureDomain, Role: RoleRouter, State: stateOf(s.Ready, s.Leaving),
		Version: fmt.Sprintf("%d %.8s", s.InForce.Version, s.InForce.Digest), Peers: len(s.Live), Waiting: s.Waiting, Running: s.Running,
	}, nil
}

func (c *Client) platformStatus(base string) (RouterStatus, error) {
	var d platformDump
	if err := c.get(base, "/dump", &d); err != nil {
		return RouterStatus{}, err
	}
	return d.status(base), nil
}

const stateReady = "ready"

func stateOf(ready, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case ready:
		return stateReady
	}
	return "not ready"
}

// dumpResult is the state of one router, or why there is none.
type dumpResult struct {
	Router string          `json:"router"`
	State  json.RawMessage `json:"state,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Dump prints the whole state of each router as JSON; those that don't answer are told.
func (c *Client) Dump(out io.Writer) error {
	var results []dumpResult
	failed := 0
	for _, a := range gather(c.admins, func(base string) (one json.RawMessage, err error) { return one, c.get(base, "/dump", &one) }) {
		r := dumpResult{Router: a.base, State: a.value}
		if a.err != nil {
			failed++
			r = dumpResult{Router: a.base, Error: a.err.Error()}
		}
		results = append(results, r)
	}
	if err := printJSON(out, results); err != nil {
		return err
	}
	return missing(failed, len(results))
}

// Drain begins a graceful shutdown of each router.
func (c *Client) Drain(out io.Writer) error {
	for _, base := range c.admins {
		resp, err := c.do(http.MethodPost, base+"/drain")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		fmt.Fprintf(out, "%s: draining\n", base)
	}
	return nil
}

// Release ends the quarantine of a team's content at all routers. It tries the routers in
// order until one succeeds, which notifies the others.
func (c *Client) Release(out io.Writer, team, content string) error {
	query := url.Values{"team": {team}, "content": {content}}
	var lastErr error
	for _, base := range c.admins {
		resp, err := c.do(http.MethodPost, base+"/quarantine/release?"+query.Encode())
		if err != nil {
			lastErr = err
			continue
		}
		_ = resp.Body.Close()
		_, err = fmt.Fprintf(out, "%s: released\n", base)
		return Error.Wrap(err)
	}
	return lastErr
}

func (c *Client) get(base, path string, v any) error {
	resp, err := c.do(http.MethodGet, base+path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(v))
}

// maxErrorBody limits the part of an error response's body that is read, in bytes.
const maxErrorBody = 512

func (c *Client) do(method, url string) (*http.Response, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody)) // a read error must not hide the status
		return nil, Error.New("%s", strings.TrimSpace(fmt.Sprintf("%s answered %s %s", url, resp.Status, body)))
	}
	return resp, nil
}
