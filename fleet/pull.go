package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/feed"
)

// methodState asks a peer for its whole published state.
const methodState = "state"

// stateParams say what the asker has.
type stateParams struct {
	ConfigVersion int64 `json:"configVersion"`
	Revision      int64 `json:"revision"`
}

// pullTimeout bounds the transfer of a state: a megabyte takes a few
// milliseconds, and another peer or the platform may have it too.
const pullTimeout = 600 * time.Millisecond

// pullFrom fetches a peer's state, one at a time.
func (n *Node) pullFrom(at netip.AddrPort) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if err := n.pull(ctx, at); err != nil {
			n.log.Warn().Str("event", "peer").Stringer("from", at).Err(err).Msg("state not fetched")
		}
	}()
}

func (n *Node) pull(ctx context.Context, at netip.AddrPort) error {
	conn, err := n.net.Dial(ctx, at)
	if err != nil {
		return Error.Wrap(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return Error.Wrap(err)
		}
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, noRequests{})
	defer func() { _ = rpc.Close() }()
	asked := n.now()
	var state feed.PeerState
	params := stateParams(n.feed.StateVersion())
	if err := rpc.Call(ctx, methodState, params, &state); err != nil {
		return Error.Wrap(err)
	}
	n.feed.Import(&state, asked)
	return nil
}

// noRequests is the asking side, which serves nothing.
type noRequests struct{}

func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// servePulls answers peers that fetch the state.
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
	// A deadline that can't be set shows as a broken connection below.
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
