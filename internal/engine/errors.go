package engine

import "github.com/cockroachdb/errors"

// Errors of an Upstream, to be matched with errors.Is of cockroachdb/errors.
var (
	// ErrNotSent means that the request did not reach the upstream: no connection was made.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrMayHaveRun means that a connection was available, so that the request may have been sent, and that no response arrived.
	ErrMayHaveRun = errors.New("engine: request may have run")
	// ErrForeignResponse marks errors of requests in whose place a response was received that began before the request was sent.
	ErrForeignResponse = errors.New("engine: response to no request")
	// ErrIncompleteResponse means that a response started but did not complete.
	ErrIncompleteResponse = errors.New("engine: incomplete response")
	// ErrIdleTimeout marks errors of requests for which nothing arrived from the upstream within Config.IdleTimeout.
	ErrIdleTimeout = errors.New("engine: idle timeout")
	// ErrDisconnected marks errors of connections that could not be opened or that failed later, such as by a reset. The upstream may
	// have crashed.
	ErrDisconnected = errors.New("engine: connection lost")
	// ErrStaleFencingToken means that the engine refused a load because it has seen a higher fencing token.
	ErrStaleFencingToken = errors.New("engine: fencing token is old")
	// ErrControl means that a control request failed.
	ErrControl = errors.New("engine: control call failed")
	// ErrUnhealthy means that the upstream answered the health check with an error status.
	ErrUnhealthy = errors.New("engine: upstream is unhealthy")
)
