package entry

import (
	"crypto/tls"
	"net"

	"github.com/pimentohead/pimentohead/internal/certificate"
)

// loadCertificate reads the certificate of the caller and admin listeners, if the settings name one.
func (e *Entry) loadCertificate() (err error) {
	l := e.settings.Listen
	if l.TLSCertFile == "" {
		return nil
	}
	e.certificate, err = certificate.New(l.TLSCertFile, l.TLSKeyFile, e.log)
	return err
}

// secure returns listener with TLS, or as it is when the settings name no certificate.
func (e *Entry) secure(listener net.Listener) net.Listener {
	if e.certificate == nil {
		return listener
	}
	return tls.NewListener(listener, e.certificate.TLSConfig())
}
