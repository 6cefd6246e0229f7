package router

import "crypto/tls"

// PeerTLS is the TLS between routers; both nil for plain TCP.
type PeerTLS struct{ Server, Client *tls.Config }
