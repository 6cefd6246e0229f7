package gateway

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/upstream"
)

const (
	// maxStatedCount and maxStatedPercent bound the figures of a Load header.
	maxStatedCount   = 10_000
	maxStatedPercent = 4_000
	// usualPercent is the stated figure for the usual speed.
	usualPercent = 100
)

// statedLoad is the load that an upstream stated in the head of a response.
type statedLoad struct {
	load       dispatch.LoadReport
	receivedAt time.Time
}

// statedLoad returns the load that a response states, whose head was received now.
func (s *Server) statedLoad(resp *upstream.Response) statedLoad {
	return statedLoad{load: parseLoad(resp.Header.Get(s.cfg.Headers.Load)), receivedAt: time.Now()}
}

// report returns the load with its present age.
func (l statedLoad) report() dispatch.LoadReport {
	if l.load.Stated() {
		l.load.Age = time.Since(l.receivedAt)
	}
	return l.load
}

// parseLoad parses a Load header: the numbers of requests running and waiting, that of slots and, from
// some upstreams, the time that work takes at present in percent of the usual one. Further figures are
// ignored. It returns the zero value if one of the first three is missing or invalid, and no slowdown if
// the fourth is.
func parseLoad(value string) dispatch.LoadReport {
	var counts [3]int
	rest := value
	for i := range counts {
		if i > 0 && rest == "" {
			return dispatch.LoadReport{}
		}
		var figure string
		figure, rest, _ = strings.Cut(rest, ",")
		n, ok := parseFigure(figure, maxStatedCount)
		if !ok {
			return dispatch.LoadReport{}
		}
		counts[i] = n
	}
	r := dispatch.LoadReport{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	percent, _, _ := strings.Cut(rest, ",")
	if n, ok := parseFigure(percent, maxStatedPercent); ok {
		r.Slowdown = float64(n) / usualPercent
	}
	return r
}

// parseFigure parses a whole number of at least 0 and returns it, at most limit.
func parseFigure(s string, limit uint64) (int, bool) {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return int(min(n, limit)), true
}
