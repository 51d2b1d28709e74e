package admin

import (
	"encoding/json"
	"net/http"
)

// retryAfterSeconds is the Retry-After header of 503 responses: a repeated request may succeed.
const retryAfterSeconds = "1"

// writeError writes an error response with the status and headers that match its code and outcome.
func (h *handler) writeError(w http.ResponseWriter, detail ErrorDetail) {
	status, found := httpStatus[detail.Code]
	if !found {
		status = http.StatusInternalServerError
	}
	if detail.Outcome != "" {
		w.Header().Set(OutcomeHeader, detail.Outcome)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	h.writeJSON(w, status, ErrorBody{Error: detail})
}

func (h *handler) writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		h.cfg.Log.Error(err, "cannot encode an answer")
		http.Error(w, "cannot encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A write fails only when the client has disconnected, so the error cannot be reported to it.
	_, _ = w.Write(append(encoded, '\n'))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
