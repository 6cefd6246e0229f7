package fleet

import (
	"math"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// Messages identify a key by a team and a hash, in arrays whose length earlier releases check. A part
// has the team quarantine.PartTeam; routers of earlier releases take it for a content of which they get
// no requests.

// newKey decodes a key.
func newKey(team string, hash uint64) quarantine.Key {
	if strings.HasPrefix(team, quarantine.PartTeam) {
		return quarantine.NewPartKey(hash)
	}
	return quarantine.Key{Team: team, Hash: hash}
}

// messageTeam returns the team with which a key is encoded.
func messageTeam(key quarantine.Key) string {
	if key.Part {
		return quarantine.PartTeam
	}
	return key.Team
}

// newCrashReport encodes a crash. For a part, the team of the request follows quarantine.PartTeam.
func newCrashReport(key quarantine.Key, e crashEvent, now time.Duration) crashReport {
	team := messageTeam(key)
	if key.Part {
		team += e.request.Team
	}
	return crashReport{Team: team, Hash: key.Hash, Upstream: e.upstream, RanMs: millis(now - e.sent)}
}

func (r *crashReport) crash(now time.Duration) quarantine.Crash {
	return quarantine.Crash{
		ID: newKey(r.Team, r.Hash), Team: strings.TrimPrefix(r.Team, quarantine.PartTeam),
		Upstream: r.Upstream, Sent: now - duration(max(r.RanMs, 0)),
	}
}

func newSuccessReport(key quarantine.Key) successReport {
	return successReport{Team: messageTeam(key), Hash: key.Hash}
}

func (r *successReport) key() quarantine.Key { return newKey(r.Team, r.Hash) }

// provenFlag in statusNotice.FailedTrials encodes quarantine.Notice.Proven.
const provenFlag = 1 << 7

func newStatusNotice(n quarantine.Notice) statusNotice {
	s := statusNotice{
		Team: messageTeam(n.ID), Hash: n.ID.Hash, Status: n.Status, Version: n.Version, LeftS: int32(math.Ceil(n.Left.Seconds())),
		FailedTrials: uint8(min(n.FailedTrials, provenFlag-1)),
	}
	if n.Proven {
		s.FailedTrials |= provenFlag
	}
	return s
}

func (s *statusNotice) notice() quarantine.Notice {
	return quarantine.Notice{
		ID: newKey(s.Team, s.Hash), Status: s.Status, Version: s.Version,
		Left: time.Duration(s.LeftS) * time.Second, FailedTrials: int(s.FailedTrials &^ provenFlag), Proven: s.FailedTrials&provenFlag != 0,
	}
}
