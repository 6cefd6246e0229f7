// Package version provides the version of this build.
package version

import "runtime/debug"

// Release is the release version of the source.
const Release = "0.1.0"

// String returns the release and, if the build recorded it, the abbreviated VCS revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return Release + " (" + s.Value[:12] + ")"
		}
	}
	return Release
}
