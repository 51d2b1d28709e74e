package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks every error about text that is refused.
var ErrInvalid = errors.New("configuration refused")

// Fault is one reason why a document is refused.
type Fault struct {
	// Line counts from 1, 0 when it is not known.
	Line int `json:"line,omitempty"`
	// Key is a dotted path such as "model[1].version"; list positions count from 0.
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// String returns the fault on one line.
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

// FaultsError lists all faults of a document. It matches ErrInvalid.
type FaultsError struct {
	Faults []Fault
}

// Error implements error with one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is matches ErrInvalid.
func (e *FaultsError) Is(target error) bool { return target == ErrInvalid }

// NewFaultsError returns a FaultsError with one fault.
func NewFaultsError(key, problem string) error {
	return &FaultsError{Faults: []Fault{{Key: key, Problem: problem}}}
}
