package gateway

// HeaderNames are the headers by which callers and upstreams talk.
type HeaderNames struct {
	// RequestID is the caller's name for this attempt; upstreams echo it.
	RequestID string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// Upstream is the incarnation that a request is meant for.
	Upstream string
	// Team is the name of the team that holds the caller's key.
	Team string
	// APIKey is the caller's API key. It never goes to an upstream.
	APIKey string
	// Seal marks an upstream's own answer.
	Seal string
	// NotRun marks an answer whose request the upstream didn't run.
	NotRun string
	// Leaving is set to 1 on the answers of an upstream that is shutting down.
	Leaving string
	// Tokens are the prompt's and the most of the output's, with a comma.
	Tokens string
	// Parts of the prompt, as HEXID:TOKENS with commas.
	Parts string
	// LengthHint is the caller's guess of the output's tokens.
	LengthHint string
	// Load is an upstream's load.
	Load string
	// CopyFrom is the address of an engine from which another copies the cached
	// parts of a prompt.
	CopyFrom string
	// Private headers are set by the system alone and never pass from a caller.
	Private []string
}
