package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/certificate"
)

// newCertificate returns a self-signed certificate with the given serial number and its key, both as PEM.
func newCertificate(g *WithT, serial int64) (cert, key []byte) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(private)
	g.Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded})
}

// servedSerial returns the serial number of the certificate that a new connection receives.
func servedSerial(g *WithT, source *certificate.Source) int64 {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	go func() { _ = tls.Server(server, source.TLSConfig()).Handshake() }()
	conn := tls.Client(client, &tls.Config{InsecureSkipVerify: true})
	g.Expect(conn.Handshake()).To(Succeed())
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against a renewed certificate that takes effect only after a restart, and against handshakes that fail while only one
// of the two files has been replaced.
func TestReplacedFilesAreUsedOnceTheyMatch(t *testing.T) {
	g := NewWithT(t)
	certFile, keyFile := filepath.Join(t.TempDir(), "c.pem"), filepath.Join(t.TempDir(), "k.pem")
	age := -time.Hour
	write := func(path string, content []byte) {
		g.Expect(os.WriteFile(path, content, 0o600)).To(Succeed())
		// Each write sets its own modification time, so that the test does not depend on the time resolution of the file
		// system.
		age += time.Second
		g.Expect(os.Chtimes(path, time.Time{}, time.Now().Add(age))).To(Succeed())
	}
	cert, key := newCertificate(g, 1)
	write(certFile, cert)
	_, err := certificate.New(certFile, keyFile, logr.Discard())
	g.Expect(errors.Is(err, certificate.ErrCertificate)).To(BeTrue(), "the key is missing")
	write(keyFile, key)
	source, err := certificate.New(certFile, keyFile, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(servedSerial(g, source)).To(BeEquivalentTo(1))
	cert, key = newCertificate(g, 2)
	write(certFile, cert)
	g.Expect(servedSerial(g, source)).To(BeEquivalentTo(1), "the key does not match yet")
	write(keyFile, key)
	g.Expect(servedSerial(g, source)).To(BeEquivalentTo(2))
}
