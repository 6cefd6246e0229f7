package routing

import "github.com/zeebo/errs"

// Kind determines whether requests of a route may run more than once.
type Kind uint8

const (
	// Unsafe requests may run at most once. Unsafe is the zero value, so that a request of an
	// unknown kind is never retried.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered with a stream of events. They are unsafe unless their
	// route is resumable.
	Streaming
)

var kindNames = [...]string{"unsafe", "safe", "streaming"}

// String returns the name used in settings and logs.
func (k Kind) String() string { return kindNames[k] }

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, error) {
	for i, known := range kindNames {
		if known == name {
			return Kind(i), nil
		}
	}
	return Unsafe, errs.New("unknown route kind %q", name)
}
