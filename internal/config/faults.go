package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks every error about a document or submission that fails validation.
var ErrInvalid = errors.New("configuration refused")

// Fault is one validation error of a document.
type Fault struct {
	// Line is the line in the document, counted from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Key is a dotted path such as "model[1].version", with list indices counted from 0.
	Key string `json:"key,omitempty"`
	// Problem says what is wrong or which values are allowed.
	Problem string `json:"problem"`
}

// String returns the fault as one line: line number, key and problem, as far as they are known.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "key %q: ", f.Key)
	}
	b.WriteString(f.Problem)
	return b.String()
}

// FaultsError lists all validation errors of a document. It matches ErrInvalid.
type FaultsError struct {
	Faults []Fault
}

// Error implements error. The message has one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid, for errors.Is.
func (e *FaultsError) Is(target error) bool { return target == ErrInvalid }

// NewFaultsError returns a FaultsError with a single fault. key may be empty.
func NewFaultsError(key, problem string) error {
	return &FaultsError{Faults: []Fault{{Key: key, Problem: problem}}}
}
