package obs

import (
	"io"

	"github.com/rs/zerolog"
)

// NewLog returns a logger of JSON lines. The level must be a valid one.
func NewLog(w io.Writer, level, process string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Str("process", process).Logger()
}
