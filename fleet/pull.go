package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/feed"
)

// methodState is the JSON-RPC method that returns a peer's published state.
const methodState = "state"

// stateParams are the versions that the client has.
type stateParams struct {
	ConfigVersion int64 `json:"configVersion"`
	Revision      int64 `json:"revision"`
}

// pullTimeout limits the transfer of a state. A megabyte takes a few milliseconds, and
// another peer or the platform may provide the state as well.
const pullTimeout = 600 * time.Millisecond

// pullFrom starts to fetch a peer's state, unless a fetch is in progress.
func (n *Node) pullFrom(addr netip.AddrPort) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
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
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, noopHandler{})
	defer func() { _ = rpc.Close() }()
	requestedAt := n.now()
	var state feed.PeerState
	params := stateParams(n.feed.StateVersion())
	if err := rpc.Call(ctx, methodState, params, &state); err != nil {
		return Error.Wrap(err)
	}
	n.feed.Import(&state, requestedAt)
	return nil
}

// noopHandler is the handler of the client side, which serves no requests.
type noopHandler struct{}

func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// servePulls serves peers that fetch the state until the transport is closed.
func (n *Node) servePulls() {
	for {
		conn, err := n.net.Accept()
		if err != nil {
			return // closed
		}
		go n.servePull(conn)
	}
}

func (n *Node) servePull(conn net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	// If the deadline can't be set, the connection is broken and the RPC fails below.
	_ = conn.SetDeadline(time.Now().Add(pullTimeout))
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(n.serveState))
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
	_ = rpc.Close()
}

func (n *Node) serveState(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method != methodState {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var params stateParams
	if err := decodeParams(req, &params); err != nil {
		return nil, err
	}
	state := n.feed.Export(feed.StateVersion(params))
	if state == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "no state yet"}
	}
	return state, nil
}
