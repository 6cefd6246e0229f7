package quarantine_test

import (
	"testing"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// BenchmarkNewContentKey measures the time that each successful request spends on its content key.
func BenchmarkNewContentKey(b *testing.B) {
	body := make([]byte, 18000)
	for b.Loop() {
		_ = quarantine.NewContentKey("schools", "POST", "h.example", "/route/1", body)
	}
}
