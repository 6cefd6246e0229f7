package lab

import "github.com/aspenswitch/aspenswitch/dispatch"

// Domains divides the engines and the routers into failure domains of equal numbers of engines.
type Domains struct {
	Count int
	// Locality enables the preference for engines in the domain of a request's router.
	Locality bool
	// Entry returns the domain that a request of a team enters, from a draw between 0 and 1. If
	// it is nil, each domain gets as many requests as any other.
	Entry func(team int, draw float64) int
}

// Sizes of requests and their answers.
const (
	bytesPerPromptToken = 1
	bytesPerOutputToken = 12
	headerBytes         = 500
)

// domainStream is the random stream that draws the domains of requests.
const domainStream = 5

// engineDomain returns the domain of an engine. The last engines are in the last domain.
func (f *Fleet) engineDomain(engine int) int {
	if f.Domains == nil {
		return 0
	}
	return engine * f.Domains.Count / f.Engines
}

// entryDomain returns the domain that a request of a team enters.
func (f *Fleet) entryDomain(team int, draw float64) int {
	switch {
	case f.Domains == nil:
		return 0
	case f.Domains.Entry == nil:
		return int(draw * float64(f.Domains.Count))
	}
	return f.Domains.Entry(team, draw)
}

// domainName returns the name of a domain, "" if the fleet isn't divided into domains.
func (f *Fleet) domainName(domain int) string {
	if f.Domains == nil {
		return ""
	}
	return string(rune('a' + domain))
}

// locality returns the configuration with the fleet's locality.
func (f *Fleet) locality(cfg dispatch.Config) dispatch.Config {
	cfg.Locality = cfg.Locality || f.Domains != nil && f.Domains.Locality
	return cfg
}

// countTraffic counts a request that is sent to an engine.
func (s *simulation) countTraffic(r *request, e *engine) {
	s.promptTokens += r.prompt()
	if r.domain != e.domain {
		s.farBytes += headerBytes + bytesPerPromptToken*r.prompt() + bytesPerOutputToken*r.outputTokens
	}
}
