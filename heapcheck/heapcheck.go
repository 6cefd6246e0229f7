// Package heapcheck measures the heap in tests of bounds on memory. It is not part of the product.
package heapcheck

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap. Buffers that grow step by step live
// for several of them.
const sampleInterval = time.Millisecond

// Sample measures the heap until stop is called, which returns its largest growth in bytes. The growth
// includes garbage that hasn't been collected.
func Sample() (stop func() uint64) {
	runtime.GC()
	before, done, peak := heapAlloc(), make(chan struct{}), make(chan uint64)
	go func() {
		largest := before
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(sampleInterval):
			}
			largest = max(largest, heapAlloc())
		}
		peak <- largest - before
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

// Peak returns the largest growth of the heap while f runs, in bytes.
func Peak(f func()) uint64 {
	stop := Sample()
	f()
	return stop()
}

// Allocated returns the bytes of heap that are allocated while f runs. They bound the bytes that f holds.
func Allocated(f func()) uint64 {
	before := totalAlloc()
	f()
	return totalAlloc() - before
}

func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func totalAlloc() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
