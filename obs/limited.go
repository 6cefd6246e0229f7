package obs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Event is a line of the log that is being written.
type Event = zerolog.Event

// LimitedLogger writes at most so many lines a second of each kind. Under load a line
// a request would cost more processor time than it explains; kinds have budgets
// of their own, so that lines of success don't displace those of failure.
type LimitedLogger struct {
	log            zerolog.Logger
	linesPerSecond int
	mu             sync.Mutex
	kinds          map[string]*kindCounter
}

type kindCounter struct {
	second  int64
	lines   int
	omitted int
}

// NewLimitedLogger returns a log with a budget of lines a second for each kind.
func NewLimitedLogger(log zerolog.Logger, linesPerSecond int) *LimitedLogger {
	return &LimitedLogger{log: log, linesPerSecond: linesPerSecond, kinds: map[string]*kindCounter{}}
}

// Info writes a line of a kind within its budget.
func (l *LimitedLogger) Info(kind string, write func(*Event)) {
	l.logLine(kind, zerolog.InfoLevel, l.linesPerSecond, write)
}

// Warn writes a line of a kind that explains a failure. Its budget is four
// times that of other lines.
func (l *LimitedLogger) Warn(kind string, write func(*Event)) {
	l.logLine(kind, zerolog.WarnLevel, 4*l.linesPerSecond, write)
}

// logLine writes within the budget. The logLine after an omission tells how many of
// its kind were left out.
func (l *LimitedLogger) logLine(kind string, level zerolog.Level, budget int, write func(*Event)) {
	second := time.Now().Unix()
	l.mu.Lock()
	k := l.kinds[kind]
	if k == nil {
		k = &kindCounter{}
		l.kinds[kind] = k
	}
	if k.second != second {
		k.second, k.lines = second, 0
	}
	if k.lines >= budget {
		k.omitted++
		l.mu.Unlock()
		return
	}
	k.lines++
	omitted := k.omitted
	k.omitted = 0
	l.mu.Unlock()
	e := l.log.WithLevel(level).Str("event", kind)
	if omitted > 0 {
		e.Int("omitted", omitted)
	}
	write(e)
}
