package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/idempotency"
)

// Methods between routers.
const (
	// methodSync carries a sched.Sync; a notification.
	methodSync = "sync"
	// methodMark tells which bundle the sender holds; a notification.
	methodMark = "mark"
	// methodBundle asks for the signed bundle that the receiver holds.
	methodBundle = "bundle"
	// methodVote asks for a vote on a key.
	methodVote = "vote"
	// methodRelease takes a vote back; a notification.
	methodRelease = "release"
	// methodAnswer asks the owner of a key for its answer.
	methodAnswer = "answer"
)

// markMessage is the parameter of methodMark.
type markMessage struct {
	From string `json:"from"`
	bundle.VersionID
}

// keyMessage is the parameter of methodVote, methodRelease and methodAnswer.
type keyMessage struct {
	Key   string            `json:"key"`
	Owner idempotency.Owner `json:"owner"`
	// List is the digest of the sender's list of VMs, where a voter must have the
	// same; 0 where it need not.
	List uint64 `json:"list,omitempty"`
}

// peerHandler takes in what peers send.
type peerHandler struct{ r *Router }

// Notify implements peer.Handler.
func (h *peerHandler) Notify(method string, params json.RawMessage) {
	m, err := parseNotification(method, params)
	if err != nil {
		h.r.log.Warn().Err(err).Str("method", method).Msg("peer sent a notification that can't be read")
		return
	}
	h.r.post(m)
}

func parseNotification(method string, params json.RawMessage) (message, error) {
	switch method {
	case methodSync:
		var m synced
		err := json.Unmarshal(params, &m.sync)
		return m, err
	case methodMark:
		var m markMessage
		err := json.Unmarshal(params, &m)
		return marked{peer: m.From, mark: m.VersionID}, err
	case methodRelease:
		var m keyMessage
		err := json.Unmarshal(params, &m)
		return release{key: m.Key, owner: m.Owner}, err
	}
	return nil, Error.New("unknown notification %q", method)
}

// Call implements peer.Handler.
func (h *peerHandler) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodBundle:
		return h.r.heldBundle(), nil
	case methodVote:
		var m keyMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, Error.Wrap(err)
		}
		return h.r.vote(ctx, m)
	case methodAnswer:
		var m keyMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, Error.Wrap(err)
		}
		return h.r.recall(ctx, m.Key)
	}
	return nil, Error.New("unknown method %q", method)
}

func (r *Router) heldBundle() *bundle.Signed {
	var signed *bundle.Signed
	r.inspect(func(c *control) {
		if c.held != nil {
			signed = c.held.signed
		}
	})
	return signed
}

// fetchTimeout bounds the fetch of a bundle from a peer.
const fetchTimeout = 5 * time.Second

// fetchBundle gets a bundle that a peer holds. Its signatures are checked like
// the platform's: a peer is trusted to pass on, not to make.
func (r *Router) fetchBundle(peer string, m bundle.VersionID) {
	ctx, done := context.WithTimeout(r.ctx, fetchTimeout)
	defer done()
	var signed *bundle.Signed
	if err := r.mesh.Call(ctx, peer, methodBundle, struct{}{}, &signed); err != nil || signed == nil {
		r.log.Warn().Err(err).Str("peer", peer).Msg("bundle not fetched")
		r.inspect(func(c *control) { delete(c.fetched, peer) })
		return
	}
	r.offerSigned(signed, peer)
}

// offerSigned verifies a bundle and hands it to control.
func (r *Router) offerSigned(signed *bundle.Signed, from string) {
	b, err := signed.Open(r.cfg.Operators)
	if err != nil {
		r.metrics.Scope.Counter("bundles_refused").Inc(1)
		r.log.Error().Err(err).Str("from", from).Msg("bundle refused")
		return
	}
	r.post(offered{signed: signed, bundle: b, from: from})
}
