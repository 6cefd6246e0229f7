package harness

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the file that shows what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add writes a line with the present time.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// Contains reports whether a line contains the text.
func (r *Record) Contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, err := os.ReadFile(r.file.Name())
	return err == nil && strings.Contains(string(raw), text)
}
