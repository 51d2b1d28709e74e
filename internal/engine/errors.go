package engine

import "github.com/cockroachdb/errors"

// Errors of an Upstream. All are matched with errors.Is.
var (
	// ErrNotSent means that the request did not reach the upstream: no connection was made.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrMayHaveRun means that the request was sent, or may have been, and no answer arrived.
	ErrMayHaveRun = errors.New("engine: request may have run")
	// ErrIncompleteResponse means that an answer began and did not end cleanly.
	ErrIncompleteResponse = errors.New("engine: answer incomplete")
	// ErrIdleTimeout marks errors caused by a connection on which nothing arrived within the idle timeout.
	ErrIdleTimeout = errors.New("engine: connection silent")
	// ErrDisconnected marks errors caused by a connection that the upstream refused, reset or closed. The upstream may have
	// crashed.
	ErrDisconnected = errors.New("engine: connection lost")
	// ErrStaleFence means that the engine has seen a higher fencing number.
	ErrStaleFence = errors.New("engine: fencing number is old")
	// ErrControl means that a control call failed.
	ErrControl = errors.New("engine: control call failed")
	// ErrUnhealthy means that the upstream answered the health check with an error.
	ErrUnhealthy = errors.New("engine: upstream is unhealthy")
)
