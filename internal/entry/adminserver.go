package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/admin"
)

// Reasons why the entry is not ready.
var (
	errLeaving  = errors.New("leaving")
	errNoConfig = errors.New("no configuration yet")
)

func (e *Entry) adminServer() *http.Server {
	handler := admin.NewHandler(admin.Config{
		Tokens: e.settings.Entry.OperatorTokensSHA256, Configuration: e.syncer, Status: e, Ready: e.ready,
		Metrics: e.telemetry.Handler(), Log: e.log,
	})
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: hardHeaderBytes,
	}
}

// ready returns why the balancer should not send requests here, or nil.
func (e *Entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.holder.Current() == nil:
		return errNoConfig
	default:
		return nil
	}
}
