package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
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

// Status prints a table of all routers; one that doesn't answer has a row too.
func (c *Client) Status(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "router\tdomain\tstate\tbundle\tlive\twaiting\trunning\thome of\tpeer bytes\tplatform calls")
	failed := 0
	for _, base := range c.admins {
		var s admin.Status
		if err := c.get(base, "/status", &s); err != nil {
			failed++
			fmt.Fprintf(w, "%s\t\t%v\n", base, err)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d %.8s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Name, s.FailureDomain, state(s),
			s.InForce.Version, s.InForce.Digest, len(s.Live), s.Waiting, s.Running, s.HomeOf, s.PeerBytes, s.PlatformCalls)
	}
	if err := w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if failed > 0 {
		return Error.New("%d of %d routers did not answer", failed, len(c.admins))
	}
	return nil
}

func state(s admin.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

// Dump prints the whole state of each router.
func (c *Client) Dump(out io.Writer) error {
	all := map[string]json.RawMessage{}
	for _, base := range c.admins {
		var one json.RawMessage
		if err := c.get(base, "/dump", &one); err != nil {
			return err
		}
		all[base] = one
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return Error.Wrap(enc.Encode(all))
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

func (c *Client) get(base, path string, v any) error {
	resp, err := c.do(http.MethodGet, base+path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(v))
}

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
		_ = resp.Body.Close()
		return nil, Error.New("%s answered %s", url, resp.Status)
	}
	return resp, nil
}
