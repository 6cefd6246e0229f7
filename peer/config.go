package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
)

// Handler takes in what peers send.
type Handler interface {
	// Notify takes a notification. It is called in the order of sending on one
	// connection and must not block for long.
	Notify(method string, params json.RawMessage)
	// Call answers a call; it may block.
	Call(ctx context.Context, method string, params json.RawMessage) (any, error)
}

// Config tunes a Mesh.
type Config struct {
	Handler Handler
	Log     zerolog.Logger
	// TLS, if set, is used in both directions with certificates on both sides.
	ServerTLS, ClientTLS *tls.Config
	// DialTimeout bounds a new connection. Short, since a silent connection is
	// replaced before its peer is suspected.
	DialTimeout time.Duration
	// WriteTimeout bounds a write: a peer that doesn't read loses the connection.
	WriteTimeout time.Duration
	// ReadTimeout ends an incoming connection that carries nothing. Heartbeats
	// come far more often.
	ReadTimeout time.Duration
	// QueueSize is how many notifications wait for one peer; more are dropped.
	QueueSize int
}

// DefaultConfig returns the settings for VMs of one region.
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
