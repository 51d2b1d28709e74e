package entry_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// Guards against a caller or admin listener that does not use the configured certificate, or still serves plain HTTP.
func TestListenersUseTheCertificate(t *testing.T) {
	g := NewWithT(t)
	// The server of package httptest has a certificate for 127.0.0.1.
	certServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer certServer.Close()
	certFile, keyFile := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	key, err := x509.MarshalPKCS8PrivateKey(certServer.TLS.Certificates[0].PrivateKey)
	g.Expect(err).NotTo(HaveOccurred())
	write := func(path, kind string, der []byte) {
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	}
	write(certFile, "CERTIFICATE", certServer.Certificate().Raw)
	write(keyFile, "PRIVATE KEY", key)
	s := &settings.Settings{
		ID: "entry-1", DataCentre: "dc",
		Listen: settings.Listen{
			Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Link: "127.0.0.1:0", TLSCertFile: certFile, TLSKeyFile: keyFile,
		},
		Link: settings.Link{Secret: secret}, Entry: settings.Entry{MaxConnections: 10},
	}
	s.Shutdown.Timeout = settings.Duration(waitTimeout)
	e, err := entry.New(entry.Options{Settings: s, Log: logr.Discard(), ShutdownDelay: 1}) // 1 ns; 0 would select the default.
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	roots := x509.NewCertPool()
	roots.AddCert(certServer.Certificate())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}}
	for path, status := range map[string]int{
		e.CallerAddress() + "/": http.StatusServiceUnavailable, e.AdminAddress() + "/healthz": http.StatusOK,
	} {
		response, err := client.Get("https://" + path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.StatusCode).To(Equal(status), path)
		response, err = client.Get("http://" + path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest), "plain HTTP to %s", path)
	}
	client.CloseIdleConnections()
	cancel()
	g.Eventually(done).WithTimeout(waitTimeout).Should(Receive(BeNil()))
}
