package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// BenchmarkRefusal measures the cost of a flood request: a caller opens a connection, sends
// a long prompt and is refused.
func BenchmarkRefusal(b *testing.B) {
	r := newHarness(b, map[string]script{"u1": ok("answer")})
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond}
	body := strings.Repeat("x", 18000)
	raw := fmt.Sprintf("POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 6000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.WriteString(c, raw); err != nil {
			b.Fatal(err)
		}
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

// BenchmarkShed measures the cost of a request that the router refuses without asking a home.
// Every connection is used for two requests.
func BenchmarkShed(b *testing.B) {
	r := newHarness(b, map[string]script{"u1": ok("answer")})
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond, Allowance: 1}
	body := strings.Repeat("x", 9000)
	raw := fmt.Sprintf("POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 6000\r\nX-Tokens: 9000,50\r\nX-Parts: 5c1e07a2:2520,91bd3f06:3780,e4402b7d:2700\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			b.Fatal(err)
		}
		for range 2 {
			if _, err := io.WriteString(c, raw); err != nil {
				b.Fatal(err)
			}
			if err := readResponse(c); err != nil {
				b.Fatal(err)
			}
		}
		_ = c.Close()
	}
}

// readResponse reads one response to its end.
func readResponse(c net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
