package quarantine_test

import (
	"testing"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// BenchmarkNewContentID measures what each successful request pays.
func BenchmarkNewContentID(b *testing.B) {
	body := make([]byte, 18000)
	for b.Loop() {
		_ = quarantine.NewContentID("schools", "POST", "h.example", "/route/1", body)
	}
}
