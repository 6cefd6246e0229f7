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

// completion is what the router reads of a request to a model; the engine gets
// the body as it came.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// prefixBytes is how much of a prompt names its start: long system prompts that
// many requests share are what a prefix cache holds.
const prefixBytes = 512

func (r completion) prefix() uint64 {
	start := r.Messages
	if len(start) == 0 {
		start = r.Prompt
	}
	return xxhash.Sum64(start[:min(len(start), prefixBytes)])
}

// complete serves /v1/chat/completions and /v1/completions.
func (s *Server) complete(c echo.Context) error {
	b, team := s.router.Bundle(), teamOf(c)
	j, cancel, err := s.newJob(c)
	if err != nil {
		return err
	}
	defer cancel()
	body, err := readCompletion(j.body)
	if err != nil {
		return err
	}
	pool, ok := b.PoolForModel(body.Model)
	if !ok || !team.MayUse(pool) {
		return badRequest(http.StatusNotFound, "model_not_found", fmt.Sprintf(
			"there is no model %q for this team; there are: %s", body.Model, strings.Join(b.Models(team), ", ")))
	}
	j.request.Pool = pool.ID
	j.request.PrefixHash = body.prefix()
	j.repeatable = true
	j.path = c.Request().URL.Path
	if body.Stream {
		return j.serve(j.stream)
	}
	return j.serve(j.whole)
}

func readCompletion(raw []byte) (completion, error) {
	var body completion
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, badRequest(http.StatusBadRequest, "invalid_json", "the body is not the JSON of a completion: "+err.Error())
	}
	if body.Model == "" {
		return body, badRequest(http.StatusBadRequest, "missing_model", "the body names no model")
	}
	return body, nil
}

// whole passes an answer on that comes in one piece. It is read whole first: a
// part can't be taken back if the rest is lost.
func (j *job) whole(t *router.Slot, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	if busy(resp.StatusCode) {
		return &upstream.RequestError{Sent: true, Cause: fmt.Errorf("engine answered %s", resp.Status)}
	}
	h := j.c.Response().Header()
	copyHeader(h, resp.Header)
	h.Set(HeaderOutcome, string(j.rec.outcome))
	j.c.Response().WriteHeader(resp.StatusCode)
	_, _ = j.c.Response().Write(body)
	return nil
}

// busy answers say that an engine did not take the request now.
func busy(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusBadGateway
}
