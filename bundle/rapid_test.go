package bundle_test

import "flag"

// Fixes the seed of the property tests so that CI results are reproducible;
// -rapid.seed selects another one.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
