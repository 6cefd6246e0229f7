package upstream

import "io"

// LimitBody returns a reader of a body that fails with a MalformedResponseError once the body is
// longer than limit bytes.
func LimitBody(body io.Reader, limit int64) io.Reader {
	return &limitedBody{body: io.LimitReader(body, limit+1), limit: limit}
}

type limitedBody struct {
	body        io.Reader
	limit, read int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	l.read += int64(n)
	if l.read > l.limit {
		return n, &MalformedResponseError{Reason: BodyTooLarge, Bytes: l.read}
	}
	return n, err
}
