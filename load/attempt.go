package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/aspenswitch/aspenswitch/standin"
)

// requestResult is the result of one request over all its attempts.
type requestResult struct {
	outcome Outcome
	// latency is measured from the first attempt to the first event of a stream, or
	// to the end of any other response.
	latency time.Duration
	retries int
	// key is the idempotency key, empty for repeatable requests.
	key string
	// violation describes a wrong response, or why the request could not be built.
	violation string
}

// caller sends one team's requests.
type caller struct {
	team Team
	http *http.Client
	// routers are the base URLs in the order in which they are tried.
	routers []string
	// sticky starts every request at the first router instead of rotating.
	sticky bool
}

// maxAttempts limits how often a request is sent. An attempt at a router that is
// down counts.
const maxAttempts = 8

// do sends the team's n-th request until it is answered, its outcome is final, or
// maxAttempts is reached.
func (c *caller) do(ctx context.Context, n uint64, stream bool) requestResult {
	start := time.Now()
	res := requestResult{outcome: Unknown}
	if c.team.Service != "" {
		res.key = uuid.Must(uuid.NewV7()).String()
	}
	for attempt := range maxAttempts {
		var retry bool
		res, retry = c.attempt(ctx, res, c.routerFor(n, attempt), n, stream, start)
		if !retry || ctx.Err() != nil {
			return res
		}
		res.retries++
	}
	return res
}

// routerFor returns the base URL for the given attempt of the n-th request.
func (c *caller) routerFor(n uint64, attempt int) string {
	if c.sticky {
		n = 0
	}
	return c.routers[(int(n)+attempt)%len(c.routers)]
}

// attempt sends the request to one router. It reports whether to retry: a refused
// request is retried after its Retry-After, and a lost one because it carries an
// idempotency key or is repeatable.
func (c *caller) attempt(ctx context.Context, res requestResult, router string, n uint64, stream bool, start time.Time) (requestResult, bool) {
	res.outcome = Unknown
	req, err := c.newRequest(ctx, router, res.key, n, stream)
	if err != nil {
		res.violation = err.Error()
		return res, false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return res, sleep(ctx, 20*time.Millisecond)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return c.handleErrorResponse(ctx, res, resp)
	}
	return c.checkResponse(res, resp, n, stream, start)
}

// handleErrorResponse records the outcome of an error response. If the response has a
// Retry-After, it waits for that time and then reports that the request is to be retried.
func (c *caller) handleErrorResponse(ctx context.Context, res requestResult, resp *http.Response) (requestResult, bool) {
	switch resp.Header.Get("Aspenswitch-Outcome") {
	case "not-run":
		res.outcome = NotRun
	case "unknown":
	default:
		res.outcome, res.violation = Wrong, "error response without a valid Aspenswitch-Outcome header: "+resp.Status
		return res, false
	}
	retryAfter, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		if res.outcome == NotRun {
			res.outcome, res.violation = Wrong, "not-run response without a valid Retry-After header: "+resp.Status
		}
		return res, false
	}
	return res, sleep(ctx, time.Duration(retryAfter)*time.Second)
}

// sleep reports false if ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) prompt(n uint64) string { return fmt.Sprintf("%s plan %d", c.team.Name, n) }

func (c *caller) newRequest(ctx context.Context, router, key string, n uint64, stream bool) (*http.Request, error) {
	url := router + "/v1/completions"
	body, err := json.Marshal(map[string]any{
		"model": c.team.Model, "prompt": c.prompt(n), "max_tokens": c.team.Tokens, "stream": stream,
	})
	if c.team.Service != "" {
		url = router + "/services/" + c.team.Service + c.team.Path
		body = []byte(c.prompt(n))
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.team.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// net/http treats requests with an idempotency key as replayable; without
		// GetBody it can't send them again on its own.
		req.GetBody = nil
	}
	return req, nil
}

// checkResponse checks a successful response against the n-th request.
func (c *caller) checkResponse(res requestResult, resp *http.Response, n uint64, stream bool, start time.Time) (requestResult, bool) {
	var text string
	var err error
	switch {
	case c.team.Service != "":
		return c.checkBooking(res, resp, n, start)
	case stream:
		text, res.latency, err = readStream(resp.Body, start)
	default:
		text, err = readCompletion(resp.Body)
		res.latency = time.Since(start)
	}
	if err != nil {
		// The request is repeatable, so it is retried after an incomplete response.
		return res, true
	}
	if want := c.wantText(n); text != want {
		res.outcome, res.violation = Wrong, fmt.Sprintf("response text %q, want %q", text, want)
		return res, false
	}
	res.outcome = Answered
	return res, false
}

func (c *caller) checkBooking(res requestResult, resp *http.Response, n uint64, start time.Time) (requestResult, bool) {
	var b standin.ServiceResponse
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return res, true
	}
	res.latency = time.Since(start)
	if b.Key != res.key || b.Run != 1 || b.Body != c.prompt(n) || b.Path != c.team.Path {
		res.outcome, res.violation = Wrong, fmt.Sprintf("unexpected booking %+v for key %s", b, res.key)
		return res, false
	}
	res.outcome = Answered
	return res, false
}

// wantText returns the text that the stand-in engine generates for the n-th request.
func (c *caller) wantText(n uint64) string {
	quoted, err := json.Marshal(c.prompt(n))
	if err != nil {
		return ""
	}
	var text strings.Builder
	for i := range c.team.Tokens {
		text.WriteString(standin.OutputToken(quoted, i))
	}
	return text.String()
}

// completion is the part of a completion response, or of one event of its stream,
// that is checked.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

func readCompletion(body io.Reader) (string, error) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) == 0 {
		return "", Error.New("response without choices")
	}
	return c.Choices[0].Message.Content, nil
}

// readStream reads events up to [DONE] and returns their text and the time from start
// to the first event. A stream that ends before [DONE] is an error.
func readStream(body io.Reader, start time.Time) (string, time.Duration, error) {
	var text strings.Builder
	var first time.Duration
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), first, nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return "", 0, Error.New("error or invalid event in the stream: %s", data)
		}
		if first == 0 {
			first = time.Since(start)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return "", 0, Error.New("stream ended before the [DONE] event")
}
