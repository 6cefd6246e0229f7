package soak

import (
	"encoding/json"
	"os"
)

// Regression is a seed that once violated an invariant.
type Regression struct {
	Seed uint64 `json:"seed"`
	// Faults is Config.Faults of the run that failed.
	Faults float64 `json:"faults"`
	// UpstreamFaults is Config.UpstreamFaults of the run that failed.
	UpstreamFaults bool `json:"upstreamFaults"`
	// WarmUpFaults is Config.WarmUpFaults of the run that failed.
	WarmUpFaults bool `json:"warmUpFaults"`
	// VersionFaults is Config.VersionFaults of the run that failed.
	VersionFaults bool `json:"versionFaults"`
	// RestoreFaults is Config.RestoreFaults of the run that failed.
	RestoreFaults bool `json:"restoreFaults"`
	// FramingFaults is Config.FramingFaults of the run that failed.
	FramingFaults bool `json:"framingFaults"`
	// PartFaults is Config.PartFaults of the run that failed.
	PartFaults bool `json:"partFaults"`
	// FloodFaults is Config.FloodFaults of the run that failed.
	FloodFaults bool `json:"floodFaults"`
	// Cause is the cause of the violation.
	Cause string `json:"cause"`
}

// Config returns base with the seed and the faults of the run that failed.
func (r Regression) Config(base Config) Config {
	base.Seed, base.Faults, base.UpstreamFaults, base.WarmUpFaults = r.Seed, r.Faults, r.UpstreamFaults, r.WarmUpFaults
	base.VersionFaults, base.RestoreFaults, base.FramingFaults, base.PartFaults = r.VersionFaults, r.RestoreFaults, r.FramingFaults, r.PartFaults
	base.FloodFaults = r.FloodFaults
	return base
}

// LoadRegressions reads a list of regressions. Each must state its cause.
func LoadRegressions(file string) ([]Regression, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var regressions []Regression
	if err := json.Unmarshal(raw, &regressions); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, r := range regressions {
		if r.Cause == "" || r.Faults <= 0 {
			return nil, Error.New("%s: seed %d must state its cause and a faults value above 0", file, r.Seed)
		}
	}
	return regressions, nil
}
