package routing

import "github.com/zeebo/errs"

// Kind says what may be done with a request of a route more than once.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests may run once at most. It is the zero value, so that a
	// kind that is not known is never repeated.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events. They are unsafe
	// unless their route is resumable.
	Streaming
)

var kindNames = [...]string{"unsafe", "safe", "streaming"}

// String returns the kind's name in settings and logs.
func (k Kind) String() string { return kindNames[k] }

// ParseKind reads a kind's name.
func ParseKind(name string) (Kind, error) {
	for i, known := range kindNames {
		if known == name {
			return Kind(i), nil
		}
	}
	return Unsafe, errs.New("unknown kind of route %q", name)
}
