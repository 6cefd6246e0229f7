// Package certs loads certificates for listeners and reads them again when
// their files change, so that a renewal needs no restart.
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

// checkEvery is how often the files are looked at.
const checkEvery = time.Second

// Reloader holds a certificate that follows its files.
type Reloader struct {
	certFile, keyFile string
	mu                sync.Mutex
	cert              *tls.Certificate
	modified          time.Time
	checked           time.Time
}

// NewReloader loads a certificate; it fails if the files are no pair.
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
	r.modified = r.newest()
	return nil
}

// newest is the later modification time of the two files.
func (r *Reloader) newest() time.Time {
	var newest time.Time
	for _, name := range []string{r.certFile, r.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// Certificate returns the current certificate. While the files are half
// written and are no pair, the last good one stays.
func (r *Reloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= checkEvery {
		r.checked = time.Now()
		if r.newest().After(r.modified) {
			_ = r.load()
		}
	}
	return r.cert
}

// ServerConfig returns the TLS settings of a listener. caFile, if given, makes callers
// show a certificate of that authority.
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
	cfg.ClientCAs, err = pool(caFile)
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, err
}

// ClientConfig returns the TLS settings of a connection to a listener with a
// certificate of the authority in caFile.
func ClientConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	r, err := NewReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.Certificate(), nil },
	}
	cfg.RootCAs, err = pool(caFile)
	return cfg, err
}

func pool(caFile string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", caFile)
	}
	return p, nil
}
