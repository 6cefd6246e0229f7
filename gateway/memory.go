package gateway

const (
	// ConnBytes is the maximum memory of a caller's connection: two buffers of net/http
	// and a goroutine stack.
	ConnBytes = 24 << 10
	// UnreadBytes is the additional kernel memory for the unread part of a request: the
	// body of a long prompt.
	UnreadBytes = 16 << 10
	// RequestBytes is the additional memory of a pending request: its body, its upstream
	// connection and their buffers.
	RequestBytes = 64 << 10
	// IncludedBodyBytes is the part of a body that RequestBytes includes. What a body takes beyond it
	// is taken from the room of other requests.
	IncludedBodyBytes = 32 << 10
	// ProgramBytes is the memory of the program's code and data and of its libraries.
	ProgramBytes = 20 << 20
)

// Fit divides the given memory, in bytes, and file descriptors of the process. The memory that
// the Go runtime doesn't count, the program and what callers' connections hold in the kernel, is
// the same on VMs of all sizes or grows with the connections: a fixed part for it is too small on
// a small VM, whose process would be killed in a flood with all its requests.
func (c *Config) Fit(memory int64, files int) {
	c.MaxKeepAliveConns = max(min(files/4, int(memory/6/ConnBytes)), 1)
	c.MaxConns = max(min(files/2, int(memory/4/(ConnBytes+UnreadBytes))), c.MaxKeepAliveConns*5/4)
	c.ListenBacklog = max(int(memory/16/UnreadBytes), 1)
	unread := int64(c.MaxConns+c.ListenBacklog) * UnreadBytes
	c.RuntimeMemory = max(min(memory-ProgramBytes-unread, memory*3/4), memory/4)
	requests := c.RuntimeMemory - int64(c.MaxConns)*ConnBytes
	c.MaxRequests = max(min(files/3, int(memory/2/RequestBytes), int(requests/RequestBytes)), 1)
}
