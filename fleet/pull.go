package fleet

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/revision"
)

// methodState is the JSON-RPC method that returns a peer's published state.
const methodState = "state"

// stateParams are the versions that the client has. Compact is set if it can decode
// stateReply.Compact.
type stateParams struct {
	ConfigVersion int64 `json:"configVersion"`
	// Revision is the counter within Epoch, see package revision.
	Revision int64 `json:"revision"`
	Epoch    int64 `json:"epoch,omitempty"`
	Compact  bool  `json:"compact,omitempty"`
}

// stateReply is the state in one of two encodings: a plain feed.PeerState in JSON, or the same in
// CBOR in Compact and only AgeNanos in JSON. Decoding 6,000 upstreams takes 32 ms of a core in
// JSON and 5 ms in CBOR.
type stateReply struct {
	feed.PeerState
	Compact []byte `json:"compact,omitempty"`
}

const (
	// pullStallTimeout is how long a transfer of changes may bring no byte. Another peer or the
	// platform may provide them as well.
	pullStallTimeout = 600 * time.Millisecond
	// firstPullStallTimeout is the same for the first state. It is long enough for a small VM whose
	// processor is busy with the start, and short enough to leave a silent peer for another.
	firstPullStallTimeout = 2 * time.Second
	// slowestPeerLink is the rate of the slowest link between routers in bytes per second: 10 Mbit/s.
	slowestPeerLink = 10e6 / 8
	// maxTransferTime limits a transfer: the time of the largest state on the slowest link, which the
	// sender shares among maxLargeStates of them.
	maxTransferTime = maxLargeStates * maxStateBytes * time.Second / slowestPeerLink
	// maxPullsServed is the number of peers that are served at the same time, each of which
	// takes a few megabytes. Others are rejected and turn to another peer.
	maxPullsServed = 8
	// maxStateBytes limits what is read from a peer. 12,000 upstreams take 2.4 MB and the largest
	// configuration 1 MB, in base64. A reader may hold it three times while it decodes it.
	maxStateBytes = 8 << 20
	// maxPullRequestBytes limits what a peer sends to fetch the state: one message of 200 bytes.
	maxPullRequestBytes = 4 << 10
)

// pullFrom starts to fetch a peer's state, unless a fetch is in progress.
func (n *Node) pullFrom(addr netip.AddrPort) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	stall := pullStallTimeout
	if n.feed.Snapshot() == nil {
		stall = firstPullStallTimeout
	}
	go func() {
		defer n.pulling.Store(false)
		if err := n.pull(addr, stall); err != nil {
			n.pullFailures.count(err)
			n.log.Warn().Str("event", "peer").Stringer("from", addr).Err(err).Msg("failed to fetch the state of a peer")
		}
	}()
}

// dialPull connects to a peer, which may take as long as a transfer may bring no byte.
func (n *Node) dialPull(addr netip.AddrPort, stall time.Duration) (*progressConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stall)
	defer cancel()
	conn, err := n.net.Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	progress, err := newProgressConn(conn, stall, maxTransferTime)
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return progress, nil
}

func (n *Node) pull(addr netip.AddrPort, stall time.Duration) error {
	conn, err := n.dialPull(addr, stall)
	if err != nil {
		return err
	}
	// The deadlines of conn end the call.
	ctx := context.Background()
	limited := &limitedConn{Conn: conn, limit: maxStateBytes}
	stream := jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, noopHandler{}, discardRPCLog)
	defer func() { _ = rpc.Close() }()
	requestedAt := n.now()
	var reply stateReply
	known := n.feed.StateVersion()
	if err := rpc.Call(ctx, methodState, stateParams{
		ConfigVersion: known.ConfigVersion, Revision: revision.Counter(known.Revision), Epoch: revision.Epoch(known.Revision), Compact: true,
	}, &reply); err != nil {
		return Error.Wrap(limited.err(conn.err(err)))
	}
	state := reply.PeerState
	if len(reply.Compact) > 0 {
		if err := cbor.Unmarshal(reply.Compact, &state); err != nil {
			return Error.New("undecodable state: %w", err)
		}
		state.AgeNanos = reply.AgeNanos
	}
	if err := state.JoinEpoch(); err != nil {
		return err
	}
	n.feed.Import(&state, requestedAt)
	return nil
}

// noopHandler is the handler of the client side, which serves no requests.
type noopHandler struct{}

func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// servePulls serves peers that fetch the state until the transport is closed.
func (n *Node) servePulls() {
	slots := make(chan struct{}, maxPullsServed)
	for {
		conn, err := n.net.Accept()
		if err != nil {
			return // closed
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				n.servePull(conn)
			}()
		default:
			n.limited.Warn("pull_rejected", func(e *obs.Event) { e.Msg("too many peers fetch the state at the same time") })
			_ = conn.Close()
		}
	}
}

func (n *Node) servePull(conn net.Conn) {
	progress, err := newProgressConn(conn, firstPullStallTimeout, maxTransferTime)
	if err != nil {
		_ = conn.Close()
		return
	}
	limited := &limitedConn{Conn: progress, limit: maxPullRequestBytes}
	stream := jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{})
	server := &pullServer{node: n}
	rpc := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(server.handle), discardRPCLog)
	<-rpc.DisconnectNotify()
	_ = rpc.Close()
	server.release()
	if err := limited.err(progress.err(nil)); err != nil {
		n.limited.Warn("pull_rejected", func(e *obs.Event) {
			e.Stringer("from", conn.RemoteAddr()).Err(err).Msg("closed the connection of a peer that fetched the state")
		})
	}
}

// discardRPCLog discards the messages of JSON-RPC about broken connections. They are not in the format
// of the log, and quote what was received.
var discardRPCLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
