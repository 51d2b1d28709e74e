package entry

import "net/http"

func (e *Entry) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.telemetry.Handler())
	if e.hooks.Admin != nil {
		mux.Handle("/v1/", e.hooks.Admin)
	}
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: hardHeaderBytes}
}

// serveReady tells the balancer whether to send requests here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.holder.Current() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
