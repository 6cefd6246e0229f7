package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
)

// Handler processes messages from peers.
type Handler interface {
	// Notify handles a notification. It is called in the order in which the
	// notifications were sent on one connection and must not block for long.
	Notify(method string, params json.RawMessage)
	// Call handles a call and returns its result. It may block.
	Call(ctx context.Context, method string, params json.RawMessage) (any, error)
}

// Config tunes a Mesh.
type Config struct {
	Handler Handler
	Log     zerolog.Logger
	// ServerTLS and ClientTLS, if set, enable mutual TLS for incoming and outgoing
	// connections.
	ServerTLS, ClientTLS *tls.Config
	// DialTimeout limits the time to open a connection. It is short because an
	// unresponsive connection must be replaced before its peer is suspected.
	DialTimeout time.Duration
	// WriteTimeout limits a write. The connection to a peer that doesn't read is
	// closed.
	WriteTimeout time.Duration
	// ReadTimeout closes an incoming connection that receives no data. Heartbeats
	// are sent far more often.
	ReadTimeout time.Duration
	// QueueSize is the maximum number of notifications queued for one peer; more are
	// dropped.
	QueueSize int
}

// DefaultConfig returns the configuration for VMs of one region.
func DefaultConfig(h Handler, log zerolog.Logger) Config {
	return Config{
		Handler:      h,
		Log:          log,
		DialTimeout:  time.Second,
		WriteTimeout: 2 * time.Second,
		ReadTimeout:  10 * time.Second,
		QueueSize:    256,
	}
}
