package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/routing"
)

// request is one caller's request on its way.
type request struct {
	ctx context.Context
	// id is the caller's.
	id      string
	in      *http.Request
	state   *feed.Snapshot
	route   *routing.Route
	team    *routing.Team
	service string
	body    []byte
	arrived time.Time
	// deadline is when the caller must have an answer: its own or the route's.
	deadline time.Time
	prompt   int
	output   int
	parts    []dispatch.Part
	// regions are those whose upstreams may serve it, nil for all.
	regions []string
	// contentID is computed on first use and is valid if hasContentID is set.
	contentID    quarantine.ContentID
	hasContentID bool
	// sentTo is the upstream of the latest attempt, which was sent at sentAt.
	sentTo dispatch.Incarnation
	sentAt time.Time
	// trial is set if the request may be sent although its content is in quarantine.
	trial bool
	// crashes is how many upstreams closed the connection while handling the request.
	crashes int
	// tried are the upstreams that it was sent to.
	tried []string
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// places counts the decisions asked for; each has a ticket of its own.
	places int
	record record
}

// accept reads a request and finds its route and team.
func (s *Server) accept(in *http.Request, crowded bool) (*request, *refusal) {
	r := &request{ctx: in.Context(), in: in, id: in.Header.Get(s.cfg.Headers.RequestID), arrived: time.Now()}
	r.record.id = r.id
	r.state = s.state.Snapshot()
	if r.state == nil {
		return r, notRun("no_configuration", "this router knows no configuration yet", time.Second)
	}
	r.record.config = r.state.ConfigVersion()
	r.record.age = s.state.Age()
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if r.route = r.state.Table.Match(in.Host, path); r.route == nil {
		return r, s.denied(http.StatusNotFound, "no_route", "no route fits this host and path")
	}
	r.record.route = r.route.Name
	if s.closing() {
		return r, notRun("stopping", "this router is stopping; the request was not run", minRetryAfter)
	}
	if refused := s.authenticate(r); refused != nil {
		return r, refused
	}
	if crowded {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.RouterFull++ })
		return r, notRun("router_full", "this router holds as many requests as it can; the request was not run", retryLater)
	}
	r.record.left = s.timeLeft(r)
	r.deadline = r.arrived.Add(r.record.left)
	s.readPrompt(r)
	r.service = r.route.ServiceFor(r.session())
	r.record.service = r.service
	if refused := s.restrictRegions(r); refused != nil {
		return r, refused
	}
	s.teams.asked(r)
	if refused := s.shed(r); refused != nil {
		return r, refused
	}
	if refused := s.readBody(r); refused != nil {
		return r, refused
	}
	return r, s.refuseQuarantined(r)
}

// minRetryAfter is told to callers that another router may serve at once.
const minRetryAfter = 50 * time.Millisecond

// denied is a final refusal. A router that doesn't know whether its view is the
// newest must not deny what a newer configuration may allow.
func (s *Server) denied(status int, code, message string) *refusal {
	if !s.state.Fresh() {
		return notRun("stale_view", "this router's view of the configuration is too old to decide", time.Second)
	}
	if s.tooOld() {
		return notRun("router_busy", "this router is behind and its view too old to deny a request", retryLater)
	}
	return bad(status, code, message)
}

// authenticate finds the team that holds the caller's key.
func (s *Server) authenticate(r *request) *refusal {
	if !r.state.Table.RequiresKey() || r.route.Public {
		return nil
	}
	if !s.state.Fresh() {
		return notRun("stale_view", "this router's view of the keys is too old to decide", time.Second)
	}
	keys := r.in.Header.Values(s.cfg.Headers.APIKey)
	if len(keys) == 1 {
		r.team = r.state.Table.Team(keys[0])
	}
	if r.team == nil {
		return s.denied(http.StatusUnauthorized, "unknown_key", "no team holds this key")
	}
	r.record.team = r.team.Name
	return nil
}

// timeLeft is how long the caller can be kept waiting.
func (s *Server) timeLeft(r *request) time.Duration {
	left := s.cfg.DefaultDeadline
	if ms, err := strconv.ParseFloat(r.in.Header.Get(s.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		left = time.Duration(min(ms, maxDeadlineMs) * float64(time.Millisecond))
	}
	if r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left - s.cfg.DeadlineMargin
}

// maxDeadlineMs keeps a caller's number within a duration: one day.
const maxDeadlineMs = 24 * 3600 * 1000

// readBody reads the whole body, within the configured limit: a request that
// may be sent again must still be there.
func (s *Server) readBody(r *request) *refusal {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	limit := r.state.Table.Config.Limits.MaxBodyBytes
	if limit > 0 && r.in.ContentLength > limit {
		// A connection that closes with unread bytes is reset, and the caller
		// would see that instead of the answer.
		_, _ = io.CopyN(io.Discard, r.in.Body, maxDiscard)
		return bad(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	}
	var body io.Reader = r.in.Body
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	raw, err := readSized(body, r.in.ContentLength)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return notRun("caller_left", "the caller left before its request was read", 0)
		}
		return bad(http.StatusBadRequest, "bad_body", "the body could not be read")
	}
	if limit > 0 && int64(len(raw)) > limit {
		return bad(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	}
	r.body = raw
	return nil
}

// maxDiscard bounds what is read of a body that is too large.
const maxDiscard = 16 << 20

// readSized reads all, into a buffer of the size that was announced.
func readSized(from io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(from)
	}
	raw := make([]byte, size)
	n, err := io.ReadFull(from, raw)
	return raw[:n], err
}

// readPrompt reads what the caller says of its prompt. Numbers that can't be
// read count as not given: they only guide the placing.
func (s *Server) readPrompt(r *request) {
	prompt, output, _ := strings.Cut(r.in.Header.Get(s.cfg.Headers.Tokens), ",")
	r.prompt = clampTokens(prompt)
	r.output = clampTokens(output)
	if hint := clampTokens(r.in.Header.Get(s.cfg.Headers.LengthHint)); hint > 0 {
		r.output = min(r.output, hint)
	}
	r.record.prompt, r.record.output = r.prompt, r.output
	if !r.route.Sticky {
		return
	}
	list := r.in.Header.Get(s.cfg.Headers.Parts)
	for entry := range strings.SplitSeq(list, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found || len(r.parts) == maxParts {
			break
		}
		n, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			break
		}
		r.parts = append(r.parts, dispatch.Part{ID: n, Tokens: clampTokens(tokens)})
	}
}

const (
	// maxParts bounds what one request can make a router remember.
	maxParts = 16
	// maxTokens is above any context length in use.
	maxTokens = 1 << 22
)

func clampTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// session is what keeps requests together when a route is split.
func (r *request) session() string {
	if len(r.parts) > 1 {
		return strconv.FormatUint(r.parts[len(r.parts)-2].ID, 16)
	}
	return r.id
}

// rank is the request's priority; a team's own goes before the route's.
func (r *request) rank() int {
	if r.team != nil && r.team.Ranked {
		return r.team.Priority
	}
	return r.route.Priority
}

// tokens is what the request counts in its team's share.
func (r *request) tokens() float64 {
	return dispatch.ChargedTokens(&dispatch.Request{Prompt: r.prompt, Output: r.output})
}

func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}
