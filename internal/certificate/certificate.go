// Package certificate serves a TLS certificate from files and reloads it without a restart when they change.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// ErrCertificate means that a file cannot be read or that the files do not hold a certificate and its private key.
var ErrCertificate = errors.New("certificate: cannot load certificate and key")

// Source holds the certificate last loaded from a certificate file and a key file, both in PEM format. It is safe for
// concurrent use.
type Source struct {
	certFile, keyFile string
	log               logr.Logger
	// mu guards the fields below.
	mu      sync.Mutex
	current *tls.Certificate
	// loaded is the state of the files at the last attempt to load them.
	loaded fileState
}

// fileState holds the modification times and sizes of both files. The files have changed when it differs.
type fileState struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// New loads the certificate and its key. It returns an error that matches ErrCertificate if they cannot be loaded.
func New(certFile, keyFile string, log logr.Logger) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, log: log}
	state, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	s.loaded = state
	return s, s.load()
}

// TLSConfig returns the TLS configuration of an HTTP/1.1 server. Each handshake uses the current certificate.
func (s *Source) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate(), nil },
	}
}

// certificate returns the current certificate, after reloading it if a file has changed. If the files cannot be loaded, for
// example because only one of the two has been replaced so far, the previous certificate stays in use until a file changes
// again.
func (s *Source) certificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, err := s.statFiles()
	if err != nil || state == s.loaded {
		return s.current
	}
	s.loaded = state
	if err := s.load(); err != nil {
		s.log.Error(err, "certificate not replaced, the earlier one stays in use", "file", s.certFile)
		return s.current
	}
	s.log.Info("certificate replaced", "file", s.certFile, "valid_until", s.current.Leaf.NotAfter)
	return s.current
}

// statFiles returns the current state of both files.
func (s *Source) statFiles() (fileState, error) {
	cert, err := os.Stat(s.certFile)
	if err != nil {
		return fileState{}, errors.Mark(err, ErrCertificate)
	}
	key, err := os.Stat(s.keyFile)
	if err != nil {
		return fileState{}, errors.Mark(err, ErrCertificate)
	}
	return fileState{certTime: cert.ModTime(), keyTime: key.ModTime(), certSize: cert.Size(), keySize: key.Size()}, nil
}

// load replaces the current certificate with that in the files. The caller holds mu, except in New.
func (s *Source) load() error {
	pair, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "load certificate %s with key %s", s.certFile, s.keyFile), ErrCertificate)
	}
	s.current = &pair
	return nil
}
