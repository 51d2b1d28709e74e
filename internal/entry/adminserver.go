package entry

import (
	"net/http"

	"github.com/pimentohead/pimentohead/internal/admin"
)

// adminServer returns the HTTP server for operators, load balancers and metrics.
func (e *Entry) adminServer() *http.Server {
	handler := admin.NewHandler(admin.Config{
		Tokens: e.settings.Entry.OperatorTokensSHA256, Configuration: e.syncer, Status: e, Ready: e.ready,
		Metrics: e.telemetry.Handler(), Log: e.log,
	})
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxServerHeaderBytes,
	}
}
