// Package certificate serves a TLS certificate from files and follows their change without a restart.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// ErrCertificate means that the files do not hold a certificate and its key.
var ErrCertificate = errors.New("certificate: cannot load")

// Source holds the newest certificate of two files.
type Source struct {
	certFile, keyFile string
	log               logr.Logger
	// mu guards the fields below.
	mu      sync.Mutex
	current *tls.Certificate
	stamp   stamp
}

// stamp tells whether the files have changed.
type stamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// New loads the certificate. It returns ErrCertificate when the files are missing or do not match.
func New(certFile, keyFile string, log logr.Logger) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, log: log}
	now, err := s.read()
	if err != nil {
		return nil, err
	}
	s.stamp = now
	return s, s.load()
}

// TLSConfig returns the configuration of a server that speaks HTTP/1.1.
func (s *Source) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate(), nil },
	}
}

// certificate returns the newest certificate. A change that cannot be loaded, such as one of two files that is still to be
// replaced, keeps the earlier one and is tried again when a file changes.
func (s *Source) certificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := s.read()
	if err != nil || now == s.stamp {
		return s.current
	}
	s.stamp = now
	if err := s.load(); err != nil {
		s.log.Error(err, "certificate not replaced, the earlier one stays in use", "file", s.certFile)
		return s.current
	}
	s.log.Info("certificate replaced", "file", s.certFile, "valid_until", s.current.Leaf.NotAfter)
	return s.current
}

func (s *Source) read() (stamp, error) {
	cert, err := os.Stat(s.certFile)
	if err != nil {
		return stamp{}, errors.Mark(err, ErrCertificate)
	}
	key, err := os.Stat(s.keyFile)
	if err != nil {
		return stamp{}, errors.Mark(err, ErrCertificate)
	}
	return stamp{certTime: cert.ModTime(), keyTime: key.ModTime(), certSize: cert.Size(), keySize: key.Size()}, nil
}

func (s *Source) load() error {
	pair, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s, %s", s.certFile, s.keyFile), ErrCertificate)
	}
	s.current = &pair
	return nil
}
