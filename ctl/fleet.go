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

// Client queries the operators' APIs of routers.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

// requestTimeout limits each HTTP request to a router.
const requestTimeout = 5 * time.Second

// NewClient returns a client of the routers at baseURLs.
func NewClient(baseURLs []string, token string) *Client {
	return &Client{baseURLs: baseURLs, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// Status prints the state of the fleet, including routers that don't answer, and returns
// an error if there are any. platform is set for routers on the users' platform.
func (c *Client) Status(out io.Writer, platform bool, format Format) error {
	routers := c.statuses(platform)
	o := newOverview(routers)
	if err := o.print(out, format); err != nil {
		return err
	}
	return unansweredError(o.unanswered(), len(routers))
}

// statuses queries all routers and returns their statuses in the order of c.baseURLs. A failed
// query is reported in the Error field.
func (c *Client) statuses(platform bool) []RouterStatus {
	query := c.adminStatus
	if platform {
		query = c.platformStatus
	}
	var routers []RouterStatus
	for _, result := range queryAll(c.baseURLs, query) {
		if result.err != nil {
			result.value = RouterStatus{Router: result.base, Error: result.err.Error()}
		}
		routers = append(routers, result.value)
	}
	return routers
}

func unansweredError(unanswered, total int) error {
	if unanswered == 0 {
		return nil
	}
	return Error.New("%d of %d routers did not answer", unanswered, total)
}

func (c *Client) adminStatus(base string) (RouterStatus, error) {
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

// dumpResult is the state of one router, or the error of querying it.
type dumpResult struct {
	Router string          `json:"router"`
	State  json.RawMessage `json:"state,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Dump prints the whole state of each router as JSON, with an error for each router that
// doesn't answer.
func (c *Client) Dump(out io.Writer) error {
	var results []dumpResult
	failed := 0
	for _, result := range queryAll(c.baseURLs, func(base string) (one json.RawMessage, err error) { return one, c.get(base, "/dump", &one) }) {
		r := dumpResult{Router: result.base, State: result.value}
		if result.err != nil {
			failed++
			r = dumpResult{Router: result.base, Error: result.err.Error()}
		}
		results = append(results, r)
	}
	if err := printJSON(out, results); err != nil {
		return err
	}
	return unansweredError(failed, len(results))
}

// Drain starts a graceful shutdown of each router. It stops at the first error.
func (c *Client) Drain(out io.Writer) error {
	for _, base := range c.baseURLs {
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
	return c.release(out, url.Values{"team": {team}, "content": {content}}, "released")
}

// ReleasePart makes the routers try a quarantined part of prompts again: if the next answer to it
// starts, its quarantine ends at all routers.
func (c *Client) ReleasePart(out io.Writer, part string) error {
	return c.release(out, url.Values{"part": {part}}, "the next request with part "+part+" is sent as a trial")
}

func (c *Client) release(out io.Writer, key url.Values, result string) error {
	var lastErr error
	for _, base := range c.baseURLs {
		resp, err := c.do(http.MethodPost, base+"/quarantine/release?"+key.Encode())
		if err != nil {
			lastErr = err
			continue
		}
		_ = resp.Body.Close()
		_, err = fmt.Fprintf(out, "%s: %s\n", base, result)
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
		return nil, Error.New("%s", strings.TrimSpace(fmt.Sprintf("%s returned %s %s", url, resp.Status, body)))
	}
	return resp, nil
}
