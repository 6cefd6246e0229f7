package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an answer of the platform of which a field isn't read, because its header isn't valid.
func TestAnswerOfThePlatformWithAnInvalidHeadIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		valid bool
	}{
		"valid":                  {"HTTP/1.1 200 OK\r\nEpoch: 3\r\n", true},
		"blank before the colon": {"HTTP/1.1 200 OK\r\nEpoch : 3\r\n", false},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nThe Epoch: 3\r\n", false},
		"status 000":             {"HTTP/1.1 000 \r\nEpoch: 3\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.head+"Content-Length: 0\r\n\r\n")
				}
			}()
			client := platformClient()
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + l.Addr().String())
			if err == nil {
				_ = resp.Body.Close()
			}
			g.Expect(err == nil).To(Equal(c.valid), "%v", err)
		})
	}
}
