// Package certs loads TLS certificates and reloads them when their files change, so
// that a renewal needs no restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("certs")

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Reloader holds a certificate and reloads it when its files change.
type Reloader struct {
	certFile, keyFile string
	mu                sync.Mutex
	cert              *tls.Certificate
	modTime           time.Time
	checkedAt         time.Time
}

// NewReloader loads a certificate and its key. It returns an error if the files can't
// be read or don't match.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return Error.Wrap(err)
	}
	r.cert = &cert
	r.modTime = r.latestModTime()
	return nil
}

// latestModTime returns the later modification time of the two files.
func (r *Reloader) latestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{r.certFile, r.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// Certificate returns the current certificate. While the files are partly written and
// don't match, it returns the last valid one.
func (r *Reloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= checkInterval {
		r.checkedAt = time.Now()
		if r.latestModTime().After(r.modTime) {
			_ = r.load()
		}
	}
	return r.cert
}

// ServerConfig returns the TLS configuration of a listener. If caFile is set, clients
// must present a certificate that this authority signed.
func ServerConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	r, err := NewReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.Certificate(), nil },
	}
	if caFile == "" {
		return cfg, nil
	}
	cfg.ClientCAs, err = loadCertPool(caFile)
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, err
}

// ClientConfig returns the TLS configuration of connections to a listener whose
// certificate the authority in caFile signed. The client presents its own certificate.
func ClientConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	r, err := NewReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.Certificate(), nil },
	}
	cfg.RootCAs, err = loadCertPool(caFile)
	return cfg, err
}

func loadCertPool(caFile string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s contains no PEM certificate", caFile)
	}
	return p, nil
}
