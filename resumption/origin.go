package resumption

import "github.com/cespare/xxhash/v2"

// StreamID identifies a stream by the attempt that brought its first event.
type StreamID uint64

// NewStreamID returns the ID of the stream that an attempt with the given request ID began.
func NewStreamID(attempt string) StreamID { return StreamID(xxhash.Sum64String(attempt)) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the upstream, "" if it isn't known.
	Version string
}

// continuesAt returns the version at which the stream can go on in a service, false if there is
// none. Versions of different services are not related.
func (o Origin) continuesAt(service string) (version string, ok bool) {
	return o.Version, o.Version != "" && o.Service == service
}
