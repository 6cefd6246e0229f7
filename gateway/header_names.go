package gateway

// HeaderNames are the names of the headers exchanged with callers and upstreams.
type HeaderNames struct {
	// RequestID is the caller's ID of this attempt; upstreams echo it.
	RequestID string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// Upstream is the ID of the upstream incarnation that a request is addressed to.
	Upstream string
	// Team is the name of the team that the caller's key belongs to.
	Team string
	// APIKey is the caller's API key. It is never forwarded to an upstream.
	APIKey string
	// Seal is set by upstreams on the responses that they generate. A success without it is
	// rejected; the header proves nothing by itself.
	Seal string
	// NotRun is set on the response to a request that the upstream didn't run.
	NotRun string
	// Leaving is set to 1 on the responses of an upstream that is shutting down.
	Leaving string
	// Tokens are the prompt tokens and the maximum output tokens, separated by a comma.
	Tokens string
	// Parts lists the prompt's cacheable parts as HEXID:TOKENS, separated by commas.
	Parts string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint string
	// Load is the upstream's current load, see parseLoad.
	Load string
	// CopyFrom is the address of an engine from which the receiving engine copies cached
	// parts of the prompt.
	CopyFrom string
	// Resumes is set on an attempt that continues a broken stream. It names the caller's attempt
	// that brought the stream's first event.
	Resumes string
	// Private headers are reserved for the system and removed from callers' requests.
	Private []string
}
