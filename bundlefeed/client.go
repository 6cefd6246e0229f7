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
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("bundlefeed")

// maxResponseBytes limits the size of a response body. The platform stores values of
// up to 1 MiB, and the JSON envelope of a signed bundle makes its text longer by
// escaping it.
const maxResponseBytes = 3 << 20

// maxHeaderBytes limits the header of a response, which has a few short fields.
const maxHeaderBytes = 16 << 10

// Client reads the bundle and the list of VMs from the platform.
type Client struct {
	baseURL string
	http    *http.Client
	calls   atomic.Int64
}

// NewClient returns a client of the service at baseURL, such as
// http://10.0.0.1:6000. wait is the longest wait of a watch; a request times out
// watchMargin later. A dead connection looks like a watch without changes, and only
// this timeout detects it.
func NewClient(baseURL string, wait time.Duration) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{
		Transport: &upstream.CheckedTransport{Base: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: wait, MaxResponseHeaderBytes: maxHeaderBytes}},
		Timeout:   wait + watchMargin,
	}}
}

// watchMargin is added to the wait of a watch to get the request timeout.
const watchMargin = 2 * time.Second

// Calls returns the number of requests made to the platform.
func (c *Client) Calls() int64 { return c.calls.Load() }

// WatchBundle waits until the ETag of the published bundle differs from etag and
// returns the signed bundle and its new ETag. It returns nil, the old etag and no
// error if there is no such bundle within wait.
func (c *Client) WatchBundle(ctx context.Context, etag string, wait time.Duration) (raw []byte, newTag string, err error) {
	query := url.Values{"after": {etag}, "wait": {wait.String()}}
	resp, err := c.get(ctx, "/v1/bundle?"+query.Encode())
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified, http.StatusNotFound:
		return nil, etag, nil
	case http.StatusOK:
	default:
		return nil, "", Error.New("reading the bundle: unexpected status %s", resp.Status)
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return raw, resp.Header.Get("ETag"), Error.Wrap(err)
}

// ListVMs returns the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context) ([]membership.ListedVM, error) {
	resp, err := c.get(ctx, "/v1/vms")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("reading the list of VMs: unexpected status %s", resp.Status)
	}
	var list []membership.ListedVM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list)
	return list, Error.Wrap(err)
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	return resp, Error.Wrap(err)
}
