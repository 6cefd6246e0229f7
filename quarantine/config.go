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
	// MinDuration is the length of the first quarantine of a content. Each consecutive
	// quarantine is twice as long as the previous one, up to MaxDuration.
	MinDuration, MaxDuration time.Duration
	// MaxEntries and MaxPerTeam limit the number of contents in the table. A single crash
	// can interrupt on the order of a hundred requests of one team.
	MaxEntries, MaxPerTeam int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		SuspectAfter: 2, QuarantineAfter: 3,
		EntryTTL:    5 * time.Minute,
		MinDuration: 10 * time.Minute, MaxDuration: 2 * time.Hour,
		MaxEntries: 2048, MaxPerTeam: 256,
	}
}
