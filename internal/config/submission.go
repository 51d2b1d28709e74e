package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of submissions. All are matched with errors.Is.
var (
	// ErrUnavailable means that the store is not reachable and the submission had no effect.
	ErrUnavailable = errors.New("config: store unavailable, nothing was changed")
	// ErrOutcomeUnknown means that the submission may have been accepted. Submitting again with the same ID tells.
	ErrOutcomeUnknown = errors.New("config: outcome unknown, submit again with the same submission ID")
	// ErrNoRevision means that the history has no such revision.
	ErrNoRevision = errors.New("config: no such revision")
)

// Submission asks to put a text in force.
type Submission struct {
	// Base is the revision that the change was made on, 0 for the first configuration.
	Base uint64 `json:"base"`
	// Digest is the digest that was approved. Text with another digest is refused.
	Digest string `json:"digest"`
	// SubmissionID makes the submission repeatable: the same ID gets the first result.
	SubmissionID string `json:"submission_id"`
	Text         string `json:"text"`
	// Author is set by the entry from the operator's token.
	Author string `json:"-"`
}

// Validate validates a submission by itself and returns its parsed text.
func (s Submission) Validate() (*Config, error) {
	if !ValidName(s.SubmissionID) {
		return nil, NewFaultsError("submission_id", fmt.Sprintf("is required: 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes))
	}
	if Digest(s.Text) != s.Digest {
		return nil, NewFaultsError("digest", "is not the SHA-256 of the text: the text is not what was approved")
	}
	return Parse(s.Text)
}

// ConflictError means that another submission was accepted first.
type ConflictError struct {
	// Current is the envelope that the submission would have replaced unseen.
	Current Envelope
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflict: revision %d by %s is in force", e.Current.Revision, e.Current.Author)
}
