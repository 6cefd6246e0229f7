package lab

// Release is a release of the engines' software that is under way. New requests go to any engine.
type Release struct {
	// OldEngines is the number of engines that still have the old version.
	OldEngines int
	// Continued is the fraction of the requests that continue a broken stream of the old version.
	Continued float64
}

// Software versions of the engines.
const (
	oldVersion = "old"
	newVersion = "new"
)

// version returns the software version of an engine, "" if there is no release.
func (f Fleet) version(engine int) string {
	switch {
	case f.Release == nil:
		return ""
	case engine < f.Release.OldEngines:
		return oldVersion
	}
	return newVersion
}

// versionStream is the random stream that draws the continued streams.
const versionStream = 2

// begunRatio returns the fraction of the requests of a version that an engine began to answer.
func (s *simulation) begunRatio(version string) float64 {
	all, started := 0, 0
	for _, r := range s.latestAttempts() {
		if r.version != version {
			continue
		}
		all++
		if r.firstToken > 0 {
			started++
		}
	}
	return float64(started) / float64(max(all, 1))
}
