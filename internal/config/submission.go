package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of submissions, for use with errors.Is.
var (
	// ErrUnavailable means that the store is unreachable and that the submission had no effect.
	ErrUnavailable = errors.New("config: store unavailable, nothing was changed")
	// ErrOutcomeUnknown means that the submission may have been accepted. Submitting again with the same ID returns the outcome.
	ErrOutcomeUnknown = errors.New("config: outcome unknown, submit again with the same submission ID")
	// ErrNoRevision means that the requested revision does not exist in the history.
	ErrNoRevision = errors.New("config: no such revision")
)

// Submission is a request to put a configuration text in force.
type Submission struct {
	// Base is the revision on which the change is based; 0 for the first configuration.
	Base uint64 `json:"base"`
	// Digest is the approved digest. A text with another digest is refused.
	Digest string `json:"digest"`
	// SubmissionID makes the submission idempotent: another submission with the same ID gets the result of the first.
	SubmissionID string `json:"submission_id"`
	Text         string `json:"text"`
	// Author is the name of the operator. The entry sets it from the operator's token.
	Author string `json:"-"`
}

// Validate checks the ID, the digest and the text of a submission, but not its base, and returns the parsed text. Its errors
// match ErrInvalid.
func (s Submission) Validate() (*Config, error) {
	if !ValidName(s.SubmissionID) {
		return nil, NewFaultsError("submission_id", fmt.Sprintf("is required: 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes))
	}
	if Digest(s.Text) != s.Digest {
		return nil, NewFaultsError("digest", "is not the SHA-256 of the text: the text is not what was approved")
	}
	return Parse(s.Text)
}

// ConflictError means that another submission was accepted first, so that the submission's Base is not the revision in force.
type ConflictError struct {
	// Current is the envelope in force, which the author of the submission has not seen.
	Current Envelope
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflict: revision %d by %s is in force", e.Current.Revision, e.Current.Author)
}
