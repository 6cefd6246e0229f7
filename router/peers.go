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
	// methodBundleVersion carries the version ID of the bundle that the sender
	// holds; a notification.
	methodBundleVersion = "mark"
	// methodBundle requests the signed bundle that the receiver holds.
	methodBundle = "bundle"
	// methodVote requests a vote on a key.
	methodVote = "vote"
	// methodRelease releases a vote; a notification.
	methodRelease = "release"
	// methodRecord requests the record of a key from its owner.
	methodRecord = "answer"
)

// bundleVersionMessage is the parameter of methodBundleVersion.
type bundleVersionMessage struct {
	From string `json:"from"`
	bundle.VersionID
}

// keyMessage is the parameter of methodVote, methodRelease and methodAnswer.
type keyMessage struct {
	Key   string            `json:"key"`
	Owner idempotency.Owner `json:"owner"`
	// List is the digest of the sender's VM list if the voter must have the same
	// list, else 0.
	List uint64 `json:"list,omitempty"`
}

// peerHandler handles the messages of peers.
type peerHandler struct{ r *Router }

// Notify implements peer.Handler.
func (h *peerHandler) Notify(method string, params json.RawMessage) {
	m, err := parseNotification(method, params)
	if err != nil {
		h.r.log.Warn().Err(err).Str("method", method).Msg("invalid notification from a peer")
		return
	}
	h.r.post(m)
}

func parseNotification(method string, params json.RawMessage) (message, error) {
	switch method {
	case methodSync:
		var m peerSync
		err := json.Unmarshal(params, &m.sync)
		return m, err
	case methodBundleVersion:
		var m bundleVersionMessage
		err := json.Unmarshal(params, &m)
		return peerBundleVersion{peer: m.From, versionID: m.VersionID}, err
	case methodRelease:
		var m keyMessage
		err := json.Unmarshal(params, &m)
		return releaseVote{key: m.Key, owner: m.Owner}, err
	}
	return nil, Error.New("unknown notification %q", method)
}

// Call implements peer.Handler.
func (h *peerHandler) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodBundle:
		return h.r.latestBundle(), nil
	case methodVote:
		var m keyMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, Error.Wrap(err)
		}
		return h.r.localVote(ctx, m)
	case methodRecord:
		var m keyMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, Error.Wrap(err)
		}
		return h.r.awaitRecord(ctx, m.Key)
	}
	return nil, Error.New("unknown method %q", method)
}

func (r *Router) latestBundle() *bundle.Signed {
	var signed *bundle.Signed
	r.inspect(func(c *controller) {
		if c.latest != nil {
			signed = c.latest.signed
		}
	})
	return signed
}

// bundleFetchTimeout bounds the fetch of a bundle from a peer.
const bundleFetchTimeout = 5 * time.Second

// fetchBundle fetches a bundle from a peer. Its signatures are verified as for a
// bundle from the platform: a peer is trusted to relay bundles, not to create them.
func (r *Router) fetchBundle(peer string, m bundle.VersionID) {
	ctx, cancel := context.WithTimeout(r.ctx, bundleFetchTimeout)
	defer cancel()
	var signed *bundle.Signed
	if err := r.mesh.Call(ctx, peer, methodBundle, struct{}{}, &signed); err != nil || signed == nil {
		r.log.Warn().Err(err).Str("peer", peer).Msg("failed to fetch the bundle")
		r.inspect(func(c *controller) { delete(c.fetched, peer) })
		return
	}
	r.offerSigned(signed, peer)
}

// offerSigned verifies a bundle and sends it to the control goroutine.
func (r *Router) offerSigned(signed *bundle.Signed, from string) {
	b, err := signed.Open(r.cfg.Operators)
	if err != nil {
		r.metrics.Scope.Counter("bundles_refused").Inc(1)
		r.log.Error().Err(err).Str("from", from).Msg("bundle refused")
		return
	}
	r.post(verifiedBundle{signed: signed, bundle: b, from: from})
}
