package quarantine

import "time"

// Config configures a Table.
type Config struct {
	// Content and Part are the policies for the two kinds of keys.
	Content, Part Policy
	// EntryTTL is how long a key that isn't in quarantine is kept after its last crash.
	EntryTTL time.Duration
	// QuarantineDuration is how long a key stays in quarantine after its last crash, or after
	// the last request with it (see Table.Touch).
	QuarantineDuration time.Duration
	// MaxEntries and MaxPerTeam limit the number of keys in the table. A single crash can
	// interrupt on the order of a hundred requests of one team.
	MaxEntries, MaxPerTeam int
}

// Policy decides when keys of a kind are quarantined and when trials are due.
type Policy struct {
	// SuspectAfter and QuarantineAfter are the numbers of consecutive crashes, each of a
	// different upstream incarnation, after which a key becomes suspect and is quarantined.
	// With SuspectAfter 0 it never becomes suspect.
	SuspectAfter, QuarantineAfter int
	// MaxDoublings limits how often QuarantineAfter is doubled. It is doubled each time a
	// quarantine turns out to be wrong.
	MaxDoublings int
	// BurstWindow is the time after a counted crash in which others aren't counted. The loss of
	// a failure domain crashes many upstreams at once, and the proxies of upstreams that have
	// ended close connections at once, one after the other.
	BurstWindow time.Duration
	// SentAfterLast makes a crash count only if its request was sent after the last counted one.
	SentAfterLast bool
	// TrialDelays are the delays from the start of a quarantine to its first trial, and from
	// each failed trial to the next. The last delay repeats.
	TrialDelays []time.Duration
	// ProvenTrialDelays replace TrialDelays for a key that was harmless before, and
	// ExplainedTrialDelays if a key that was not is in quarantine beside it: that one explains
	// the crashes. Empty means that there is no difference.
	ProvenTrialDelays, ExplainedTrialDelays []time.Duration
	// TrialTimeout is how long a granted trial may remain without a result. That of a content is
	// its complete response, that of a part the start of an answer.
	TrialTimeout time.Duration
}

const (
	partQuarantineAfter = 4
	partBurstWindow     = 100 * time.Millisecond
)

// explainedTrialDelays begin with a trial before that of the key that explains the crashes, which
// would interrupt it.
var explainedTrialDelays = []time.Duration{
	300 * time.Millisecond, time.Second, time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
	15 * time.Second, time.Minute,
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Content: Policy{
			SuspectAfter: 2, QuarantineAfter: 3, BurstWindow: 50 * time.Millisecond, SentAfterLast: true,
			TrialDelays:          []time.Duration{time.Second, 2 * time.Second, 20 * time.Second, 200 * time.Second, 30 * time.Minute},
			ProvenTrialDelays:    []time.Duration{time.Second, 4 * time.Second, 15 * time.Second, time.Minute},
			ExplainedTrialDelays: explainedTrialDelays,
			TrialTimeout:         15 * time.Second,
		},
		Part: Policy{
			QuarantineAfter: partQuarantineAfter, MaxDoublings: 2, BurstWindow: partBurstWindow,
			TrialDelays:          []time.Duration{time.Second, 10 * time.Second, 5 * time.Minute, time.Hour, 6 * time.Hour},
			ProvenTrialDelays:    []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second, time.Minute},
			ExplainedTrialDelays: explainedTrialDelays,
			TrialTimeout:         5 * time.Second,
		},
		EntryTTL:           5 * time.Minute,
		QuarantineDuration: 2 * time.Hour,
		MaxEntries:         2048, MaxPerTeam: 256,
	}
}

func (c *Config) policy(k Key) *Policy {
	if k.Part {
		return &c.Part
	}
	return &c.Content
}

// threshold returns the number of crashes that quarantine a key after it was wrongly
// quarantined the given number of times.
func (p *Policy) threshold(wrong int) int { return p.QuarantineAfter << min(wrong, p.MaxDoublings) }
