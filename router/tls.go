package router

import "crypto/tls"

// PeerTLS holds the TLS configurations for connections between routers. Both are
// nil for plain TCP.
type PeerTLS struct{ Server, Client *tls.Config }
