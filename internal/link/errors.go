package link

import "github.com/cockroachdb/errors"

// Errors of links. All are matched with errors.Is.
var (
	// ErrClosed means that the connection is closed. A message that Send refused with it was not written.
	ErrClosed = errors.New("link: connection closed")
	// ErrSilent means that nothing arrived within the silence timeout.
	ErrSilent = errors.New("link: connection silent")
	// ErrFrameTooLarge means that a frame exceeds the limit.
	ErrFrameTooLarge = errors.New("link: frame too large")
	// ErrHandshake means that the peer is not a node of this system or does not hold the secret.
	ErrHandshake = errors.New("link: handshake failed")
	// ErrProtocol means that the peer broke the protocol after the handshake.
	ErrProtocol = errors.New("link: protocol error")
)
