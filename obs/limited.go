package obs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Event is a log line under construction.
type Event = zerolog.Event

// LimitedLogger limits the number of lines per second for each kind of event. Under load
// a line per request would cost more CPU time than it is worth; each kind has its own
// budget, so that success lines don't displace failure lines.
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

// NewLimitedLogger returns a logger that writes up to linesPerSecond lines per second of
// each kind.
func NewLimitedLogger(log zerolog.Logger, linesPerSecond int) *LimitedLogger {
	return &LimitedLogger{log: log, linesPerSecond: linesPerSecond, kinds: map[string]*kindCounter{}}
}

// Info logs a line of the given kind if its budget allows.
func (l *LimitedLogger) Info(kind string, write func(*Event)) {
	l.logLine(kind, zerolog.InfoLevel, l.linesPerSecond, write)
}

// Warn logs a line that explains a failure. Its budget is four times that of Info.
func (l *LimitedLogger) Warn(kind string, write func(*Event)) {
	l.logLine(kind, zerolog.WarnLevel, 4*l.linesPerSecond, write)
}

// logLine logs a line if fewer than budget lines of its kind were logged this second.
// The first line after an omission contains the number of omitted lines of its kind.
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
