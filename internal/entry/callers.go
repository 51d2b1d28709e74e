package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// failureWriteTimeout bounds the time from the arrival of a request to the end of its error response, if this entry refuses
	// the request.
	failureWriteTimeout = 30 * time.Second
	// maxServerHeaderBytes bounds the header that net/http reads, also if the configured limit, which filter.SizeLimit enforces, is
	// higher.
	maxServerHeaderBytes = 64 << 10
)

// callerServer returns the HTTP server for callers. ctx is the base context of all requests.
func (e *Entry) callerServer(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serveCaller)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxServerHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: e.callerConns.ConnContext,
		ConnState:   e.callerConns.ConnState,
		ErrorLog:    log.New(debugWriter{e.log}, "", 0),
	}
}

// limitedCallerListener returns the caller listener with the limit on open connections, and with TLS if it is configured.
func (e *Entry) limitedCallerListener() net.Listener {
	return e.withTLS(netutil.LimitListener(e.callerConns.Listener(e.callerListener), e.settings.Entry.MaxConnections))
}

// serveCaller runs the filter chain for one request of a caller.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		// Connections in use are closed after the current response. Otherwise the server could close a keep-alive connection
		// while the caller sends its next request on it.
		w.Header().Set("Connection", "close")
	}
	// A write deadline applies to the connection, so the one of an earlier request has to be replaced. The dispatcher sets its own
	// later.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(failureWriteTimeout))
	// The request keeps its own context, by which the chain recognises a caller that has disconnected.
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(e.shutdown, func() { cancel(filter.ErrShuttingDown) })()
	x := &filter.Exchange{Start: time.Now(), Writer: w, Request: r}
	err := e.chain(ctx, x)
	if errors.Is(err, filter.ErrAborted) || errors.Is(err, filter.ErrCallerGone) {
		e.leaveUnanswered(x, err)
	}
}

// debugWriter logs the error messages of net/http, most of which concern misbehaving clients, at debug level.
type debugWriter struct{ log logr.Logger }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	telemetry.Debug(w.log).Info("HTTP server reported an error", "message", string(p))
	return len(p), nil
}
