package daemon_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
)

// relay forwards TCP connections. After a call of silence, the connections open at that time
// stay open but carry no more data, while new ones work.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   []*atomic.Bool
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: to}
	DeferCleanup(l.Close)
	go r.serve()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.silent = append(r.silent, silent)
		r.mu.Unlock()
		go pump(in, out, silent)
		go pump(out, in, silent)
	}
}

// pump copies data in one direction. Once silent is set, it discards the data and leaves the
// receiving side open.
func pump(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// silence stops forwarding on all open connections without closing them.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
}

func jsonBody(s string) io.Reader { return strings.NewReader(s) }

func readAll(r io.Reader) (string, error) {
	var b bytes.Buffer
	_, err := b.ReadFrom(r)
	return b.String(), err
}

// refusedAddress returns an address that refuses connections until the end of the test.
func refusedAddress() string {
	address, release, err := standin.RefusedAddress()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(release)
	return address
}
