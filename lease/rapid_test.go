package lease_test

import "flag"

// Property tests use a fixed seed, so that CI gives the same verdict on every
// run; override it with -rapid.seed.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
