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
	// failureWriteTimeout bounds the time until a request that is refused here has been read and answered.
	failureWriteTimeout = 30 * time.Second
	// hardHeaderBytes bounds what net/http reads; the configuration's lower limit is checked by the size filter.
	hardHeaderBytes = 64 << 10
)

func (e *Entry) callerServer(base context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serveCaller)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: hardHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return base },
		ErrorLog:    log.New(debugWriter{e.log}, "", 0),
	}
}

func (e *Entry) limitConnections() net.Listener {
	return e.secure(netutil.LimitListener(e.callerListener, e.settings.Entry.MaxConnections))
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		// Busy connections end with an answer, so that the server does not close one under a caller's next request.
		w.Header().Set("Connection", "close")
	}
	// A deadline that an earlier request set on the connection still holds; the dispatcher sets its own.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(failureWriteTimeout))
	x := &filter.Exchange{Start: time.Now(), Writer: w, Request: r}
	err := e.chain(r.Context(), x)
	if errors.Is(err, filter.ErrAborted) || errors.Is(err, filter.ErrCallerGone) {
		panic(http.ErrAbortHandler)
	}
}

// debugWriter logs the messages of net/http about misbehaving clients.
type debugWriter struct{ log logr.Logger }

func (w debugWriter) Write(p []byte) (int, error) {
	telemetry.Debug(w.log).Info("http server", "message", string(p))
	return len(p), nil
}
