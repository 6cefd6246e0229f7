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

// attempt is one request and what came of it.
type attempt struct {
	outcome Outcome
	first   time.Duration
	retries int
	key     string
	fault   string
}

// caller sends one team's requests.
type caller struct {
	team Team
	http *http.Client
	// routers are the base URLs in the order in which they are tried.
	routers []string
	// sticky callers begin with the first router each time.
	sticky bool
}

// tries is how often a caller sends a request before it gives up; a router that
// is down takes one.
const tries = 8

// do sends a request until it is answered or given up.
func (c *caller) do(ctx context.Context, n uint64, stream bool) attempt {
	began := time.Now()
	a := attempt{outcome: Unknown}
	if c.team.Service != "" {
		a.key = uuid.Must(uuid.NewV7()).String()
	}
	for try := range tries {
		var again bool
		a, again = c.once(ctx, a, c.router(n, try), n, stream, began)
		if !again || ctx.Err() != nil {
			return a
		}
		a.retries++
	}
	return a
}

// router is where the request's n-th try goes.
func (c *caller) router(n uint64, try int) string {
	if c.sticky {
		n = 0
	}
	return c.routers[(int(n)+try)%len(c.routers)]
}

// once sends a request to one router. again asks for another try: a refused
// request after the time it was told, a lost one with its key or if it may be
// repeated.
func (c *caller) once(ctx context.Context, a attempt, router string, n uint64, stream bool, began time.Time) (attempt, bool) {
	a.outcome = Unknown
	req, err := c.request(ctx, router, a.key, n, stream)
	if err != nil {
		a.fault = err.Error()
		return a, false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, sleep(ctx, 20*time.Millisecond)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return c.refusal(ctx, a, resp)
	}
	return c.answer(a, resp, n, stream, began)
}

// refusal reads an error answer.
func (c *caller) refusal(ctx context.Context, a attempt, resp *http.Response) (attempt, bool) {
	switch resp.Header.Get("Aspenswitch-Outcome") {
	case "not-run":
		a.outcome = NotRun
	case "unknown":
	default:
		a.outcome, a.fault = Wrong, "error without outcome: "+resp.Status
		return a, false
	}
	after, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		if a.outcome == NotRun {
			a.outcome, a.fault = Wrong, "not-run without Retry-After: "+resp.Status
		}
		return a, false
	}
	return a, sleep(ctx, time.Duration(after)*time.Second)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) prompt(n uint64) string { return fmt.Sprintf("%s plan %d", c.team.Name, n) }

func (c *caller) request(ctx context.Context, router, key string, n uint64, stream bool) (*http.Request, error) {
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
		// Without GetBody net/http can't send the request again by itself.
		req.GetBody = nil
	}
	return req, nil
}

// answer checks an answer against what was asked.
func (c *caller) answer(a attempt, resp *http.Response, n uint64, stream bool, began time.Time) (attempt, bool) {
	var text string
	var err error
	switch {
	case c.team.Service != "":
		return c.booking(a, resp, n, began)
	case stream:
		text, a.first, err = readStream(resp.Body, began)
	default:
		text, err = readWhole(resp.Body)
		a.first = time.Since(began)
	}
	if err != nil {
		// A repeatable request whose answer broke is asked again.
		return a, true
	}
	if want := c.want(n); text != want {
		a.outcome, a.fault = Wrong, fmt.Sprintf("answer %q, want %q", text, want)
		return a, false
	}
	a.outcome = Answered
	return a, false
}

func (c *caller) booking(a attempt, resp *http.Response, n uint64, began time.Time) (attempt, bool) {
	var b standin.ServiceResponse
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return a, true
	}
	a.first = time.Since(began)
	if b.Key != a.key || b.Run != 1 || b.Body != c.prompt(n) || b.Path != c.team.Path {
		a.outcome, a.fault = Wrong, fmt.Sprintf("booking %+v for key %s", b, a.key)
		return a, false
	}
	a.outcome = Answered
	return a, false
}

// want is the text that the stand-in engine answers with.
func (c *caller) want(n uint64) string {
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

// content is what is read of an answer of the API.
type content struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

func readWhole(body io.Reader) (string, error) {
	var c content
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) == 0 {
		return "", Error.New("answer without choices")
	}
	return c.Choices[0].Message.Content, nil
}

// readStream reads to the last event; a stream that ends before it is an error.
func readStream(body io.Reader, began time.Time) (string, time.Duration, error) {
	var text strings.Builder
	var first time.Duration
	in := bufio.NewScanner(body)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), first, nil
		}
		var c content
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return "", 0, Error.New("error event: %s", data)
		}
		if first == 0 {
			first = time.Since(began)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return "", 0, Error.New("stream ended early")
}
