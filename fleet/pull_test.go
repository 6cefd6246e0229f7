package fleet_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/registry"
)

// peerReplying returns the address of a peer that sends a fixed reply to each request.
func peerReplying(c *cluster, reply any) netip.AddrPort {
	at := addr(200)
	e := c.net.listen(at)
	c.t.Cleanup(func() { _ = e.Close() })
	go func() {
		for {
			conn, err := e.Accept()
			if err != nil {
				return
			}
			answer := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return reply, nil })
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{}), answer)
		}
	}()
	return at
}

// Guards against a peer whose state is cut, undecodable or too long: nothing of it is used, and
// the router keeps its own.
func TestInvalidStateOfAPeerIsDropped(t *testing.T) {
	valid, err := cbor.Marshal(&feed.PeerState{Revision: 9, Upstreams: []registry.Upstream{{ID: "u", Service: "llm", Revision: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, reply := range map[string]any{
		"cut":                               map[string]any{"compact": valid[:len(valid)/2]},
		"not CBOR":                          map[string]any{"compact": []byte("{}")},
		"another type":                      map[string]any{"compact": "?", "Revision": 9},
		"too long":                          map[string]any{"padding": strings.Repeat("x", fleet.MaxStateBytes)},
		"changes after an unknown revision": feed.PeerState{Revision: 9, Since: 8, Upstreams: []registry.Upstream{{ID: "u", Service: "llm", Revision: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := startCluster(t, 1, &source{revision: 1, version: 1})
				m := c.all[0]
				before := m.feed.Snapshot()
				err := m.node.Pull(peerReplying(c, reply))
				if name != "changes after an unknown revision" {
					g.Expect(err).To(HaveOccurred())
				}
				g.Expect(m.feed.Snapshot()).To(Equal(before))
			})
		})
	}
}

// A router that sends only JSON, as an earlier version does, is understood.
func TestStateInJSONIsUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 1, &source{revision: 1, version: 1})
		reply := feed.PeerState{Revision: 9, Upstreams: []registry.Upstream{{ID: "u", Service: "llm", Slots: 1, Revision: 9}}}
		g.Expect(c.all[0].node.Pull(peerReplying(c, reply))).To(Succeed())
		g.Expect(c.all[0].feed.Snapshot().View.Upstream("u")).NotTo(BeNil())
	})
}

// Guards against a leader that runs out of memory when its whole failure domain fetches the state:
// the peers beyond a bound are rejected at once.
func TestConcurrentPullsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 1, &source{revision: 1, version: 1})
		client := c.net.listen(addr(201))
		closed := 0
		for range 3 * fleet.MaxPullsServed {
			conn, err := client.Dial(context.Background(), c.all[0].addr)
			g.Expect(err).NotTo(HaveOccurred())
			// The clients that are served send no request and are not closed before the timeout.
			g.Expect(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			if _, err := conn.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
				closed++
			}
		}
		g.Expect(closed).To(Equal(2 * fleet.MaxPullsServed))
	})
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
