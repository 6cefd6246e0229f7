package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/settings"
)

var _ = Describe("connections between routers", func() {
	// All open connections between three routers stop carrying data at once, while new ones
	// work. No router must be considered dead, and votes and slots must still be granted.
	It("are replaced when they go silent", func() {
		f := newFleet()
		f.addService(0)
		f.addEngine(fastEngine, true)
		relays := map[string]*relay{}
		f.address = func(name string, a daemon.Addresses) string {
			if relays[name] == nil {
				relays[name] = newRelay(a.Peers)
			}
			return relays[name].address()
		}
		f.startRouters(3)
		Eventually(func() int { return f.routers[0].postBooking(newIdempotencyKey()).status }, eventuallyTimeout).Should(Equal(http.StatusCreated))
		for _, r := range relays {
			r.silence()
		}
		Eventually(f.routers[0].log.String, eventuallyTimeout).Should(ContainSubstring("opening a new connection"))
		Eventually(func() int { return f.routers[0].postBooking(newIdempotencyKey()).status }, eventuallyTimeout).Should(Equal(http.StatusCreated))
		Consistently(func() []string { return f.routers[0].dump().Scheduler.Live }, "1500ms", "100ms").Should(HaveLen(3))
	})
})

// certificates creates a CA and a certificate for 127.0.0.1 signed by it, and writes them to
// files.
func certificates() (caFile, certFile, keyFile string, pool *x509.CertPool) {
	dir, err := os.MkdirTemp("", "certs")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
		return file
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: caDER}))
	return write("ca.pem", "CERTIFICATE", caDER), write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER), pool
}

var _ = Describe("TLS", func() {
	// Routers authenticate each other by certificates of one authority. A client without such a
	// certificate must be rejected by the peer listener, and callers must be served over TLS.
	It("serves callers and admits only routers of the authority", func() {
		ca, cert, key, pool := certificates()
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.changeSettings = func(s *settings.Settings) {
			s.Callers.CertFile, s.Callers.KeyFile = cert, key
			s.Peers.CertFile, s.Peers.KeyFile, s.Peers.CAFile = cert, key, ca
		}
		f.publishBundle(f.bundle)
		f.addRouter("vm1")
		f.addRouter("vm2")
		f.publishVMs(f.routers...)
		Eventually(func() []string { return f.routers[0].dump().Scheduler.Live }, eventuallyTimeout).Should(HaveLen(2))
		Eventually(func() bool { return f.routers[0].dump().Ready }, eventuallyTimeout).Should(BeTrue())

		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
		defer client.CloseIdleConnections()
		resp, err := client.Get("https://" + f.routers[0].daemon.Addresses().Callers + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))

		conn, err := tls.Dial("tcp", f.routers[0].daemon.Addresses().Peers, &tls.Config{RootCAs: pool})
		if err == nil {
			// With TLS 1.3 the client gets the rejection at its first read.
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		Expect(err).To(HaveOccurred())
	})
})
