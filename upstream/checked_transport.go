package upstream

import (
	"net/http"

	"github.com/aspenswitch/aspenswitch/responsehead"
)

// CheckedTransport is an http.RoundTripper that returns a *MalformedResponseError in place of a response
// whose head isn't valid.
type CheckedTransport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections, as http.Client does by this method.
func (t *CheckedTransport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// checkParsed closes a response that a library has parsed, and returns an error, if its head isn't valid.
func checkParsed(resp *http.Response) error {
	err := newInvalidHead(responsehead.CheckParsed(resp), 0)
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}
