package fleet

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/revision"
)

// pullServer serves one peer that fetches the state.
type pullServer struct {
	node *Node
	// holdsSlot is set while the peer has one of the slots for large states.
	holdsSlot bool
}

const (
	// largeStateBytes is the size of an encoded state from which on few are sent at the same time:
	// 0.2 s on the slowest link.
	largeStateBytes = 256 << 10
	// maxLargeStates is the number of large states that are sent at the same time. On a slow link each
	// further one delays the others, and all would take longer than maxTransferTime; peers that have
	// the state serve others meanwhile.
	maxLargeStates = 2
	// maxSlotWait is how long a peer waits for its turn: several transfers on a fast link, and less than
	// the time without a byte after which it ends the transfer.
	maxSlotWait = pullStallTimeout / 2
)

// acquire waits for a slot for a large state. It returns false if none gets free in time.
func (s *pullServer) acquire() bool {
	if s.holdsSlot {
		return true
	}
	timer := time.NewTimer(maxSlotWait)
	defer timer.Stop()
	select {
	case s.node.largeStates <- struct{}{}:
		s.holdsSlot = true
	case <-timer.C:
	}
	return s.holdsSlot
}

// release returns the slot. The connection has ended.
func (s *pullServer) release() {
	if s.holdsSlot {
		<-s.node.largeStates
	}
}

// handle returns the state for a peer.
func (s *pullServer) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
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
		if state := s.node.feed.Export(known); state != nil {
			state.SplitEpoch()
			return state, nil
		}
		return nil, errNoState
	}
	encoded, age, err := s.node.encodedStates.encode(s.node.feed, known)
	if err != nil {
		return nil, err
	}
	if encoded == nil {
		return nil, errNoState
	}
	if len(encoded) > largeStateBytes && !s.acquire() {
		return nil, errBusy
	}
	return stateReply{PeerState: feed.PeerState{AgeNanos: age}, Compact: encoded}, nil
}

var errNoState = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "no state yet"}

// errBusy is returned for a large state while others are sent.
var errBusy = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many large states are sent at the same time"}
