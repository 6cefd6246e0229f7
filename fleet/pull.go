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
	// pullTimeout limits the transfer of changes. Another peer or the platform may provide them
	// as well.
	pullTimeout = 600 * time.Millisecond
	// firstPullTimeout limits the transfer of the first state. It is long enough for a small VM
	// whose processor is busy with the start, and short enough to leave a slow peer for another.
	firstPullTimeout = 2 * time.Second
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
	timeout := pullTimeout
	if n.feed.Snapshot() == nil {
		timeout = firstPullTimeout
	}
	go func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := n.pull(ctx, addr); err != nil {
			n.log.Warn().Str("event", "peer").Stringer("from", addr).Err(err).Msg("failed to fetch the state of a peer")
		}
	}()
}

func (n *Node) pull(ctx context.Context, addr netip.AddrPort) error {
	conn, err := n.net.Dial(ctx, addr)
	if err != nil {
		return Error.Wrap(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return Error.Wrap(err)
		}
	}
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
		return Error.Wrap(limited.err(err))
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
	ctx, cancel := context.WithTimeout(context.Background(), firstPullTimeout)
	defer cancel()
	// If the deadline can't be set, the connection is broken and the RPC fails below.
	_ = conn.SetDeadline(time.Now().Add(firstPullTimeout))
	limited := &limitedConn{Conn: conn, limit: maxPullRequestBytes}
	stream := jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(n.serveState), discardRPCLog)
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
	_ = rpc.Close()
	if err := limited.err(nil); err != nil {
		n.limited.Warn("pull_rejected", func(e *obs.Event) {
			e.Stringer("from", conn.RemoteAddr()).Err(err).Msg("closed the connection of a peer that fetched the state")
		})
	}
}

// discardRPCLog discards the messages of JSON-RPC about broken connections. They are not in the format
// of the log, and quote what was received.
var discardRPCLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func (n *Node) serveState(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method != methodState {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var params stateParams
	if err := decodeParams(req, &params); err != nil {
		return nil, err
	}
	knownRevision, err := revision.New(params.Epoch, params.Revision)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	known := feed.StateVersion{ConfigVersion: params.ConfigVersion, Revision: knownRevision}
	if !params.Compact {
		if state := n.feed.Export(known); state != nil {
			state.SplitEpoch()
			return state, nil
		}
		return nil, errNoState
	}
	encoded, age, err := n.encodedStates.encode(n.feed, known)
	if err != nil {
		return nil, err
	}
	if encoded == nil {
		return nil, errNoState
	}
	return stateReply{PeerState: feed.PeerState{AgeNanos: age}, Compact: encoded}, nil
}

var errNoState = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "no state yet"}
