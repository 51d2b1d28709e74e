package entry

import (
	"crypto/tls"
	"net"

	"github.com/pimentohead/pimentohead/internal/certificate"
)

// loadCertificate loads the certificate for the caller and admin listeners, if the settings specify one.
func (e *Entry) loadCertificate() (err error) {
	listen := e.settings.Listen
	if listen.TLSCertFile == "" {
		return nil
	}
	e.certificate, err = certificate.New(listen.TLSCertFile, listen.TLSKeyFile, e.log)
	return err
}

// withTLS wraps listener with TLS, or returns it unchanged when the settings specify no certificate.
func (e *Entry) withTLS(listener net.Listener) net.Listener {
	if e.certificate == nil {
		return listener
	}
	return tls.NewListener(listener, e.certificate.TLSConfig())
}
