package bundlefeed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/membership"
)

// Error is the class of this package's errors.
var Error = errs.Class("bundlefeed")

// maxValue bounds what is read: the platform holds values up to a megabyte, and
// the envelope of a signed bundle escapes its text.
const maxValue = 3 << 20

// Client reads from the platform.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

// NewClient returns a client of the service at base, such as
// http://10.0.0.1:6000. wait bounds a waiting watch: a connection that has gone
// silent looks like a watch with nothing to tell, and only its end shows it.
func NewClient(base string, wait time.Duration) *Client {
	return &Client{base: base, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: wait},
		Timeout:   wait + watchMargin,
	}}
}

// watchMargin is how much longer than its own bound a watch may take.
const watchMargin = 2 * time.Second

// Calls is the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// WatchBundle waits until the published bundle differs from the one that etag names
// and returns it. It returns nil without an error if nothing came within wait.
func (c *Client) WatchBundle(ctx context.Context, etag string, wait time.Duration) (raw []byte, newTag string, err error) {
	q := url.Values{"after": {etag}, "wait": {wait.String()}}
	resp, err := c.get(ctx, "/v1/bundle?"+q.Encode())
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified, http.StatusNotFound:
		return nil, etag, nil
	case http.StatusOK:
	default:
		return nil, "", Error.New("bundle: %s", resp.Status)
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxValue))
	return raw, resp.Header.Get("ETag"), Error.Wrap(err)
}

// ListVMs reads the list of VMs.
func (c *Client) ListVMs(ctx context.Context) ([]membership.ListedVM, error) {
	resp, err := c.get(ctx, "/v1/vms")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("list of VMs: %s", resp.Status)
	}
	var list []membership.ListedVM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxValue)).Decode(&list)
	return list, Error.Wrap(err)
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	return resp, Error.Wrap(err)
}
