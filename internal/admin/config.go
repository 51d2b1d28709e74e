package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
)

func (h *handler) getConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	active := h.cfg.Configuration.Current()
	if active == nil {
		h.writeError(w, ErrorDetail{Code: CodeNotFound, Message: "no configuration is in force"})
		return
	}
	h.writeJSON(w, http.StatusOK, active.Envelope)
}

func (h *handler) getHistory(w http.ResponseWriter, r *http.Request, _ string) {
	revision, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil || revision == 0 {
		h.writeError(w, ErrorDetail{Code: CodeBadRequest, Message: "the revision must be a positive number"})
		return
	}
	envelope, err := h.cfg.Configuration.History(r.Context(), revision)
	if err != nil {
		h.writeError(w, errorDetail(err))
		return
	}
	h.writeJSON(w, http.StatusOK, envelope)
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, operator string) {
	submission, rejection := readSubmission(w, r)
	if rejection != nil {
		rejection.Outcome = OutcomeNotRun
		h.writeError(w, *rejection)
		return
	}
	submission.Author = operator
	envelope, err := h.cfg.Configuration.Submit(r.Context(), submission)
	if err != nil {
		detail := errorDetail(err)
		detail.Difference = diffFromCurrent(detail.Current, submission.Text)
		if detail.Outcome == "" {
			detail.Outcome = OutcomeNotRun
		}
		h.cfg.Log.Info("submission failed", "operator", operator, "id", submission.SubmissionID, "base", submission.Base,
			"digest", submission.Digest, "code", detail.Code, "cause", err.Error())
		h.writeError(w, detail)
		return
	}
	h.cfg.Log.Info("submission accepted", "operator", operator, "id", submission.SubmissionID,
		"revision", envelope.Revision, "digest", envelope.Digest)
	h.writeJSON(w, http.StatusCreated, envelope)
}

// readSubmission decodes a body of at most maxSubmissionBytes. It rejects unknown fields and text after the JSON object.
func readSubmission(w http.ResponseWriter, r *http.Request) (config.Submission, *ErrorDetail) {
	var submission config.Submission
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSubmissionBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&submission)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return submission, nil
		}
		err = errors.New("there is text after the JSON object")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return submission, &ErrorDetail{Code: CodeTooLarge,
			Message: "the submission is larger than " + strconv.Itoa(maxSubmissionBytes) + " bytes"}
	}
	return submission, &ErrorDetail{Code: CodeBadRequest, Message: "the body is not a submission: " + err.Error()}
}

// diffFromCurrent returns the changes from the configuration in force to the submitted text, or nil when current is nil or text is
// invalid.
func diffFromCurrent(current *config.Envelope, text string) []config.Change {
	if current == nil {
		return nil
	}
	next, err := config.Parse(text)
	if err != nil {
		return nil
	}
	old, err := config.Parse(current.Text)
	if err != nil {
		old = nil
	}
	return config.Diff(old, next)
}

// errorDetail returns the body of the error response for an error of Configuration.
func errorDetail(err error) ErrorDetail {
	var faults *config.FaultsError
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &faults):
		return ErrorDetail{Code: CodeInvalid, Message: err.Error(), Faults: faults.Faults}
	case errors.As(err, &conflict):
		return ErrorDetail{Code: CodeConflict, Message: err.Error(), Current: &conflict.Current}
	case errors.Is(err, config.ErrNoRevision):
		return ErrorDetail{Code: CodeNotFound, Message: err.Error()}
	case errors.Is(err, config.ErrOutcomeUnknown):
		return ErrorDetail{Code: CodeOutcomeUnknown, Message: err.Error(), Outcome: OutcomeUnknown}
	case errors.Is(err, config.ErrUnavailable):
		return ErrorDetail{Code: CodeUnavailable, Message: err.Error()}
	default:
		// The cause is unknown, so a submission may have taken effect.
		return ErrorDetail{Code: CodeInternal, Message: err.Error(), Outcome: OutcomeUnknown}
	}
}
