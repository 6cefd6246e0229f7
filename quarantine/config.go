package quarantine

import "time"

// Config configures a Table.
type Config struct {
	// SuspectAfter and QuarantineAfter are the numbers of consecutive crashes, each of a
	// different upstream incarnation, after which a content becomes suspect and is
	// quarantined.
	SuspectAfter, QuarantineAfter int
	// EntryTTL is how long a content that isn't in quarantine is kept after its last crash.
	EntryTTL time.Duration
	// QuarantineDuration is how long a content stays in quarantine after its last crash.
	QuarantineDuration time.Duration
	// TrialDelays are the delays from the start of a quarantine to its first trial, and from
	// each failed trial to the next. The last delay repeats.
	TrialDelays []time.Duration
	// TrialTimeout is how long a granted trial may remain without a result before another
	// may be granted.
	TrialTimeout time.Duration
	// MaxEntries and MaxPerTeam limit the number of contents in the table. A single crash
	// can interrupt on the order of a hundred requests of one team.
	MaxEntries, MaxPerTeam int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		SuspectAfter: 2, QuarantineAfter: 3,
		EntryTTL:           5 * time.Minute,
		QuarantineDuration: 2 * time.Hour,
		TrialDelays:        []time.Duration{time.Second, 2 * time.Second, 20 * time.Second, 200 * time.Second, 30 * time.Minute},
		TrialTimeout:       15 * time.Second,
		MaxEntries:         2048, MaxPerTeam: 256,
	}
}
