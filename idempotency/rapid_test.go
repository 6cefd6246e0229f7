package idempotency_test

import "flag"

// Fixes the seed so that CI checks the properties on the same inputs each time;
// -rapid.seed selects other inputs.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
