package admin

import (
	"net/http"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Paths of the admin interface.
const (
	PathConfig  = "/v1/config"
	PathHistory = "/v1/config/history/"
	PathStatus  = "/v1/status"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// OutcomeHeader is the response header that states whether a failed submission took effect.
const OutcomeHeader = "Pimentohead-Outcome"

// Values of OutcomeHeader.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Code is the machine-readable class of an error.
type Code string

// Error codes.
const (
	CodeUnauthenticated Code = "unauthenticated"
	CodeBadRequest      Code = "bad_request"
	CodeTooLarge        Code = "too_large"
	CodeNotFound        Code = "not_found"
	CodeConflict        Code = "conflict"
	CodeInvalid         Code = "invalid"
	CodeUnavailable     Code = "unavailable"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeInternal        Code = "internal"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Outcome states whether a failed submission took effect: OutcomeNotRun or OutcomeUnknown. It is empty for submissions without
	// a valid operator token, which never take effect.
	Outcome string `json:"outcome,omitempty"`
	// Faults lists the reasons why a document was refused.
	Faults []config.Fault `json:"faults,omitempty"`
	// Current is the envelope in force after a conflict. Difference lists the changes from it to the submitted text.
	Current    *config.Envelope `json:"current,omitempty"`
	Difference []config.Change  `json:"difference,omitempty"`
}

// httpStatus maps error codes to HTTP status codes.
var httpStatus = map[Code]int{
	CodeUnauthenticated: http.StatusUnauthorized,
	CodeBadRequest:      http.StatusBadRequest,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeNotFound:        http.StatusNotFound,
	CodeConflict:        http.StatusConflict,
	CodeInvalid:         http.StatusUnprocessableEntity,
	CodeUnavailable:     http.StatusServiceUnavailable,
	CodeOutcomeUnknown:  http.StatusServiceUnavailable,
	CodeInternal:        http.StatusInternalServerError,
}
