package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/routing"
)

// request is a caller's request and the state of its processing.
type request struct {
	ctx context.Context
	// id is the request ID sent by the caller.
	id      string
	in      *http.Request
	state   *feed.Snapshot
	route   *routing.Route
	team    *routing.Team
	service string
	body    heldBody
	// arrived is when the request's header had been read, and complete when its body had, too.
	arrived, complete time.Time
	// statedDeadline is how long the caller waits from arrived on by its own words, 0 if it states nothing.
	statedDeadline time.Duration
	// deadline is when the caller must have a response: the earlier of its own deadline
	// and the route's timeout, minus Config.DeadlineMargin.
	deadline     time.Time
	promptTokens int
	outputTokens int
	parts        []dispatch.Part
	// morePartsThanRead is set if the prompt has more parts than parts contains.
	morePartsThanRead bool
	// regions are the regions whose upstreams may serve the request, nil for all.
	regions []string
	// contentKey is computed on first use and is valid if hasContentKey is set.
	contentKey    quarantine.Key
	hasContentKey bool
	// sentTo is the upstream of the latest attempt, which was sent at sentAt.
	sentTo dispatch.Incarnation
	sentAt time.Time
	// events is the number of complete events that the latest attempt has brought. answerStarted
	// is set once its upstream has started to answer.
	events        int64
	answerStarted bool
	// endUnconfirmed is set if a stream ended with its connection before its upstream had started to
	// answer. Nothing shows that it is complete.
	endUnconfirmed bool
	// trialResult is set once a crash or a success was reported of a trial.
	trialResult bool
	// sentVersion is the software version of that upstream, "" if unknown.
	sentVersion string
	// began is set once the caller has a part of a stream that may be resumed. version is the
	// software version that began it, "" if unknown: a stream continues at this version only.
	began   bool
	version string
	// trialOf are the quarantined keys with which the request may be sent as a trial.
	trialOf []quarantine.Key
	// crashes is how many upstreams closed the connection while handling the request.
	crashes int
	// tried are the IDs of the upstreams to exclude from further placements.
	tried []string
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// placements counts the placement requests; each has its own ticket.
	placements int
	record     record
}

// accept reads and validates a request and determines its route, team and service. full is
// set if the router has reached its request limit.
func (s *Server) accept(in *http.Request, control *http.ResponseController, full bool) (*request, *refusal) {
	r := &request{ctx: in.Context(), in: in, id: in.Header.Get(s.cfg.Headers.RequestID), arrived: time.Now()}
	r.complete = r.arrived
	r.record.id, r.record.resumes = r.id, in.Header.Get(s.cfg.Headers.Resumes)
	r.state = s.state.Snapshot()
	if r.state == nil {
		return r, notRun("no_configuration", "this router knows no configuration yet", time.Second)
	}
	r.record.configVersion = r.state.ConfigVersion()
	r.record.stateAge = s.state.Age()
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if r.route = r.state.Table.Match(in.Host, path); r.route == nil {
		return r, s.deny(http.StatusNotFound, "no_route", "no route fits this host and path")
	}
	r.record.route = r.route.Name
	if s.forwardingEnded() {
		return r, stoppingRefusal(r)
	}
	if refused := s.authenticate(r); refused != nil {
		return r, refused
	}
	if full {
		s.teams.update(r.teamName(), func(l *TeamLoad) { l.RouterFull++ })
		return r, notRun(codeRouterFull, "this router holds as many requests as it can; the request was not run", defaultRetryAfter)
	}
	r.record.remaining = s.timeLeft(r)
	r.deadline = r.arrived.Add(r.record.remaining)
	if refused := s.refuseUnfinishable(r); refused != nil {
		return r, refused
	}
	s.readPrompt(r)
	r.service = r.route.ServiceFor(r.sessionKey())
	r.record.service = r.service
	if refused := s.restrictRegions(r); refused != nil {
		return r, refused
	}
	s.teams.countReceived(r)
	if refused := s.shed(r); refused != nil {
		return r, refused
	}
	if refused := s.readBody(r, control); refused != nil {
		return r, refused
	}
	return r, s.refuseQuarantined(r)
}

// minRetryAfter is the Retry-After delay for requests that another router may serve at once.
const minRetryAfter = 50 * time.Millisecond

// deny returns a permanent refusal. If this router's state may be outdated, it returns a
// retryable one instead, since a newer configuration may allow the request.
func (s *Server) deny(status int, code, message string) *refusal {
	if !s.state.Fresh() {
		return notRun("stale_view", "this router's view of the configuration is too old to decide", time.Second)
	}
	if s.overloadedWithOldState() {
		return notRun(codeRouterBusy, "this router is behind and its view too old to deny a request", defaultRetryAfter)
	}
	return permanentRefusal(status, code, message)
}

// authenticate determines the team that the caller's key belongs to.
func (s *Server) authenticate(r *request) *refusal {
	if !r.state.Table.RequiresKey() || r.route.Public {
		return nil
	}
	if !s.state.Fresh() {
		return staleViewRefusal()
	}
	keys := r.in.Header.Values(s.cfg.Headers.APIKey)
	if len(keys) == 1 {
		r.team = r.state.Table.Team(keys[0])
	}
	if r.team == nil {
		return s.deny(http.StatusUnauthorized, "unknown_key", "no team holds this key")
	}
	r.record.team = r.team.Name
	return nil
}

// readDeadline returns how long the caller waits by its own words, false if it states nothing.
func (s *Server) readDeadline(in *http.Request) (stated time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(in.Header.Get(s.cfg.Headers.Deadline), 64)
	if err != nil || math.IsNaN(ms) || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadlineMs) * float64(time.Millisecond)), true
}

// timeLeft returns how long the caller may wait for a response, and records what it states.
func (s *Server) timeLeft(r *request) time.Duration {
	left := s.cfg.DefaultDeadline
	if stated, ok := s.readDeadline(r.in); ok {
		r.statedDeadline, left = stated, stated
	}
	if r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left - s.cfg.DeadlineMargin
}

// maxDeadlineMs is one day. It prevents a caller's value from overflowing a time.Duration.
const maxDeadlineMs = 24 * 3600 * 1000

// defaultMaxBodyBytes limits a body if the configuration has no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody buffers the whole body, up to the configured limit, so that the request can be
// sent again on a retry. A body that arrives too slowly, or not by the request's deadline, is refused.
func (s *Server) readBody(r *request, control *http.ResponseController) *refusal {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	limit := r.state.Table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.in.ContentLength > limit {
		// A connection that is closed with unread bytes is reset, and the caller
		// would see the reset instead of the response.
		_, _ = io.CopyN(io.Discard, r.in.Body, maxDiscard)
		return refuseLargeBody()
	}
	r.body = heldBody{budget: s.bodies, team: r.teamName(), requests: s.activeRequests.Load}
	pace := bodyPace{start: r.arrived, grace: s.callerLimits().headerTimeout, end: r.deadline}
	deadline := &bodyDeadline{server: s, request: r, control: control, pace: pace}
	end := deadline.watchStop()
	err := r.body.read(r.in.Body, r.in.ContentLength, limit, deadline.progress)
	end(err == nil)
	switch {
	case err == nil:
		r.complete = time.Now()
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && s.unfinishable(r):
		r.body.release()
		return s.refuseUnfinishable(r)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(r.deadline):
		r.body.release()
		s.stats.slowBodies.Inc(1)
		refused := notRun("body_slow", "the body arrived too slowly; the request was not run", defaultRetryAfter)
		refused.bodyUnread = true
		return refused
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.body.release()
		s.stats.lateBodies.Inc(1)
		return notRun("body_late", "the body did not arrive before the request's deadline; the request was not run", defaultRetryAfter)
	case errors.Is(err, errNoRoom):
		r.body.release()
		s.stats.bodiesWithoutRoom.Inc(1)
		s.teams.update(r.teamName(), func(l *TeamLoad) { l.RouterFull++ })
		refused := notRun("no_body_room", "this router has no room for the body; the request was not run", s.bodies.retryAfter())
		refused.bodyUnread = true
		return refused
	case errors.Is(err, errBodyTooLarge):
		return refuseLargeBody()
	case errors.Is(err, context.Canceled):
		return notRun("caller_left", "the caller left before its request was read", 0)
	}
	return permanentRefusal(http.StatusBadRequest, "bad_body", "the body could not be read")
}

func refuseLargeBody() *refusal {
	return permanentRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
}

// maxDiscard limits how much of an oversized body is read and discarded.
const maxDiscard = 16 << 20

// readPrompt parses the headers that describe the prompt. Invalid numbers count as missing,
// since they only affect placement.
func (s *Server) readPrompt(r *request) {
	prompt, output, _ := strings.Cut(r.in.Header.Get(s.cfg.Headers.Tokens), ",")
	r.promptTokens = parseTokens(prompt)
	r.outputTokens = parseTokens(output)
	if hint := parseTokens(r.in.Header.Get(s.cfg.Headers.LengthHint)); hint > 0 {
		r.outputTokens = min(r.outputTokens, hint)
	}
	r.record.prompt, r.record.output = r.promptTokens, r.outputTokens
	if !r.route.Sticky {
		return
	}
	list := r.in.Header.Get(s.cfg.Headers.Parts)
	for entry := range strings.SplitSeq(list, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found {
			break
		}
		if len(r.parts) == maxParts {
			r.morePartsThanRead = true
			break
		}
		n, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			break
		}
		r.parts = append(r.parts, dispatch.Part{ID: n, Tokens: parseTokens(tokens)})
	}
}

const (
	// maxParts limits the prompt parts that a router records for one request.
	maxParts = 16
	// maxTokens is above any context length in use.
	maxTokens = 1 << 22
)

func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// sessionKey returns the key that assigns the requests of one session to the same service
// when a route's traffic is split. The second-to-last part identifies the session, since the
// last part belongs to this request alone.
func (r *request) sessionKey() string {
	if len(r.parts) > 1 {
		return strconv.FormatUint(r.parts[len(r.parts)-2].ID, 16)
	}
	return r.id
}

// priority returns the request's priority; a team's priority overrides the route's.
func (r *request) priority() int {
	if r.team != nil && r.team.Ranked {
		return r.team.Priority
	}
	return r.route.Priority
}

// tokens returns the request's cost in its team's share.
func (r *request) tokens() float64 {
	return dispatch.ChargedTokens(&dispatch.Request{Prompt: r.promptTokens, Output: r.outputTokens})
}

func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}
