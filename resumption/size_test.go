package resumption_test

import (
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/resumption"
)

// Guards against a full table that takes more than 4 MB of a small VM.
func TestFullTableTakesAtMost4MB(t *testing.T) {
	g := NewWithT(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := resumption.NewTable()
	for i := range 1<<16 - 1 {
		table.Record(0, resumption.StreamID(uint64(i)*0x9e3779b97f4a7c15), origin)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	taken := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d records take %.1f MB", table.Len(), float64(taken)/(1<<20))
	g.Expect(taken).To(BeNumerically("<=", 4<<20))
}

// BenchmarkHolders chooses the routers that record a stream, in a fleet of 1,168.
func BenchmarkHolders(b *testing.B) {
	all := candidates(1168, 5)
	for i := range b.N {
		resumption.Holders(resumption.StreamID(i), all, resumption.Copies)
	}
}
