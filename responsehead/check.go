package responsehead

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Check returns an *Error unless raw is the head of a response, up to and including the empty line after
// its header.
func Check(raw []byte) error {
	var c Checker
	_, _ = c.Write(raw) // Err returns the same error
	return c.Err()
}

// CheckParsed returns an *Error for a response that a library has parsed, and whose head it should have
// refused. It can't see what the parser has dropped, such as folded lines.
func CheckParsed(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &Error{InvalidStatus, "version " + quote(resp.Proto)}
	}
	if err := checkStatus(resp.StatusCode, quote(resp.Status)); err != nil {
		return err
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{InvalidField, "name " + quote(name)}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &Error{InvalidField, "value of " + quote(name)}
			}
		}
	}
	return nil
}
