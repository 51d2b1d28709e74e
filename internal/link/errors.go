package link

import "github.com/cockroachdb/errors"

// Errors returned by links. Callers match them with errors.Is.
var (
	// ErrClosed means that the connection is closed. If Send returns it, the message was not queued.
	ErrClosed = errors.New("link: connection closed")
	// ErrSilent means that nothing arrived within the silence timeout.
	ErrSilent = errors.New("link: connection silent")
	// ErrFrameTooLarge means that a frame exceeds Config.MaxFrameBytes or the smaller limit of the handshake.
	ErrFrameTooLarge = errors.New("link: frame too large")
	// ErrHandshake means that the handshake failed, for example because the peer is not a node of this system or does not hold
	// the link secret.
	ErrHandshake = errors.New("link: handshake failed")
	// ErrEncode means that, after the handshake, a message could not be encoded as a frame within the limit.
	ErrEncode = errors.New("link: cannot encode message")
	// ErrHandlerPanic means that the handling of a received message panicked. The text of the error contains the stack.
	ErrHandlerPanic = errors.New("link: panic while handling a message")
)
