package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"
)

// generation holds the output of a request while it is generated.
type generation struct {
	id     string
	req    engineRequest
	cancel context.CancelFunc
	mu     sync.Mutex
	tokens []string
	done   bool
	// updated is closed and replaced when a token is added or the generation ends.
	updated chan struct{}
}

func (s *generation) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *generation) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.updated)
	s.updated = make(chan struct{})
}

// next waits for the i-th token. ok is false if the generation has ended before it, or if ctx is
// done.
func (s *generation) next(ctx context.Context, i int) (token string, ok bool) {
	for {
		s.mu.Lock()
		done, updated := s.done, s.updated
		if i < len(s.tokens) {
			token = s.tokens[i]
			s.mu.Unlock()
			return token, true
		}
		s.mu.Unlock()
		if done {
			return "", false
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return "", false
		}
	}
}

// chunk is an event of a chat completion stream, or a complete chat completion.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// writeStream sends the events of a generation, starting with event number from.
func (g *Engine) writeStream(c echo.Context, s *generation, from int) error {
	out := c.Response()
	out.Header().Set(echo.HeaderContentType, "text/event-stream")
	if g.cfg.CloseInEvent {
		out.Header().Set("Transfer-Encoding", "identity") // net/http then closes the connection
	}
	out.WriteHeader(http.StatusOK)
	out.Flush()
	for i := from; ; i++ {
		disconnect := g.cfg.DisconnectAfterEvents > 0 && i-from >= g.cfg.DisconnectAfterEvents
		if disconnect && !g.cfg.CloseInEvent {
			panic(http.ErrAbortHandler)
		}
		token, ok := s.next(c.Request().Context(), i)
		if !ok {
			break
		}
		event, err := g.event(i, s.chunk(token))
		if err != nil {
			return err
		}
		if disconnect {
			event = event[:len(event)/2]
		}
		_, err = out.Write(event)
		out.Flush()
		if err != nil || disconnect {
			return nil
		}
	}
	if c.Request().Context().Err() == nil {
		_, _ = out.Write(g.withLineEnds("data: [DONE]\n\n"))
	}
	return nil
}

// withLineEnds returns text with the line ends of the engine.
func (g *Engine) withLineEnds(text string) []byte {
	if g.cfg.LineEnd != "" {
		text = strings.ReplaceAll(text, "\n", g.cfg.LineEnd)
	}
	return []byte(text)
}

func (s *generation) chunk(token string) chunk {
	return chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.req.Model,
		Choices: []choice{{Delta: &delta{Role: "assistant", Content: token}}},
	}
}

// event returns an event of a stream.
func (g *Engine) event(i int, ch chunk) ([]byte, error) {
	data, err := json.Marshal(ch)
	if err != nil {
		return nil, err
	}
	return g.withLineEnds(fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)), nil
}

// writeCompletion sends the output as a single response once it is complete. It cancels the
// generation if the caller disconnects.
func (g *Engine) writeCompletion(c echo.Context, s *generation) error {
	var text strings.Builder
	n := 0
	for {
		token, ok := s.next(c.Request().Context(), n)
		if !ok {
			break
		}
		text.WriteString(token)
		n++
	}
	if c.Request().Context().Err() != nil {
		s.cancel()
		return nil
	}
	stop := "stop"
	return c.JSON(http.StatusOK, chunk{
		ID: s.id, Object: "chat.completion", Model: s.req.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
		Usage:   &usage{CompletionTokens: n, TotalTokens: n},
	})
}

func (g *Engine) lookUpStream(c echo.Context) (*generation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.streams[c.Param("id")]
	if !ok {
		return nil, echo.NewHTTPError(http.StatusNotFound, "no such stream")
	}
	return s, nil
}

// resume continues a stream after the event that the caller received last.
func (g *Engine) resume(c echo.Context) error {
	s, err := g.lookUpStream(c)
	if err != nil {
		return err
	}
	from := 0
	if after := c.QueryParam("after"); after != "" {
		lastID, err := strconv.Atoi(after)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after must be an event's id")
		}
		from = lastID + 1
	}
	return g.writeStream(c, s, from)
}

// cancel ends a generation.
func (g *Engine) cancel(c echo.Context) error {
	s, err := g.lookUpStream(c)
	if err != nil {
		return err
	}
	s.cancel()
	return c.NoContent(http.StatusNoContent)
}
