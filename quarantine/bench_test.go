package quarantine_test

import (
	"testing"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// BenchmarkNewContentID measures the time that each successful request spends on its content ID.
func BenchmarkNewContentID(b *testing.B) {
	body := make([]byte, 18000)
	for b.Loop() {
		_ = quarantine.NewContentID("schools", "POST", "h.example", "/route/1", body)
	}
}
