package obs

import (
	"io"

	"github.com/rs/zerolog"
)

// NewLog returns a logger that writes JSON lines to w. An invalid level means info.
func NewLog(w io.Writer, level, process string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Str("process", process).Logger()
}
