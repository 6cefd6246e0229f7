package callers

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// completionRequest holds the fields of a completion request that the router reads.
// The engine receives the body unchanged.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// maxPrefixBytes is the length of the prompt prefix that is hashed: a prefix cache
// mainly holds long system prompts that many requests share.
const maxPrefixBytes = 512

func (r completionRequest) prefixHash() uint64 {
	start := r.Messages
	if len(start) == 0 {
		start = r.Prompt
	}
	return xxhash.Sum64(start[:min(len(start), maxPrefixBytes)])
}

// handleCompletion serves /v1/chat/completions and /v1/completions.
func (s *Server) handleCompletion(c echo.Context) error {
	b, team := s.router.Bundle(), teamOf(c)
	p, cancel, err := s.newProxyRequest(c)
	if err != nil {
		return err
	}
	defer cancel()
	body, err := parseCompletion(p.body)
	if err != nil {
		return err
	}
	pool, ok := b.PoolForModel(body.Model)
	if !ok || !team.MayUse(pool) {
		return invalidRequest(http.StatusNotFound, "model_not_found", fmt.Sprintf(
			"there is no model %q for this team; there are: %s", body.Model, strings.Join(b.Models(team), ", ")))
	}
	p.slotRequest.Pool = pool.ID
	p.slotRequest.PrefixHash = body.prefixHash()
	p.repeatable = true
	p.path = c.Request().URL.Path
	if body.Stream {
		return p.serve(p.relayStream)
	}
	return p.serve(p.relayBuffered)
}

func parseCompletion(raw []byte) (completionRequest, error) {
	var body completionRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, invalidRequest(http.StatusBadRequest, "invalid_json", "the body is not the JSON of a completion: "+err.Error())
	}
	if body.Model == "" {
		return body, invalidRequest(http.StatusBadRequest, "missing_model", "the body names no model")
	}
	return body, nil
}

// maxBufferedBytes limits a response that is held until it is complete. It is four times the largest
// event of a stream, since a response that isn't streamed has all of them.
const maxBufferedBytes = 4 * maxEventBytes

// relayBuffered relays a response that is not streamed. It reads the whole body
// first, since a part that was sent to the caller can't be withdrawn if the rest is
// lost.
func (p *proxyRequest) relayBuffered(slot *router.Slot, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(upstream.LimitBody(resp.Body, maxBufferedBytes))
	if err != nil {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	if isRejection(resp.StatusCode) {
		return &upstream.RequestError{Sent: true, Cause: fmt.Errorf("engine responded with %s", resp.Status)}
	}
	h := p.c.Response().Header()
	copyResponseHeader(h, resp.Header)
	h.Set(HeaderOutcome, string(p.rec.outcome))
	p.c.Response().WriteHeader(resp.StatusCode)
	_, _ = p.c.Response().Write(body)
	return nil
}

// isRejection reports whether a status means that the engine did not accept the
// request at this time.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusBadGateway
}
