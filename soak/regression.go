package soak

import (
	"encoding/json"
	"os"
)

// Regression is a seed that once broke a promise.
type Regression struct {
	Seed uint64 `json:"seed"`
	// Faults is Config.Faults as it was.
	Faults float64 `json:"faults"`
	// UpstreamFaults is Config.UpstreamFaults of the run that failed.
	UpstreamFaults bool `json:"upstreamFaults"`
	// WarmUpFaults is Config.WarmUpFaults of the run that failed.
	WarmUpFaults bool `json:"warmUpFaults"`
	// Cause is what broke it.
	Cause string `json:"cause"`
}

// Config is a configuration that plays the seed again.
func (r Regression) Config(base Config) Config {
	base.Seed, base.Faults, base.UpstreamFaults, base.WarmUpFaults = r.Seed, r.Faults, r.UpstreamFaults, r.WarmUpFaults
	return base
}

// LoadRegressions reads a list of regressions. Each must tell its cause.
func LoadRegressions(file string) ([]Regression, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var all []Regression
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, r := range all {
		if r.Cause == "" || r.Faults <= 0 {
			return nil, Error.New("%s: seed %d lacks its cause or its faults", file, r.Seed)
		}
	}
	return all, nil
}
