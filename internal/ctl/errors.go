package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Exit codes of pimentoctl.
const (
	ExitOK       = 0
	ExitFailed   = 1 // any other failure, such as no response or an unknown outcome
	ExitUsage    = 2 // invalid command line; nothing was submitted
	ExitRefused  = 3 // an invalid document, edit or submission; nothing was changed
	ExitConflict = 4 // another change was accepted first; nothing was changed, except when a later change ends rollout -wait
)

// exitError is an error that selects the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: errors.Newf(format, args...)}
}

func refusedError(err error) error  { return &exitError{code: ExitRefused, err: err} }
func conflictError(err error) error { return &exitError{code: ExitConflict, err: err} }

// reportError prints err, if any, and returns the exit code.
func reportError(env Environment, name string, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(env.Stderr, "pimentoctl %s: %v\n", name, err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	if errors.Is(err, config.ErrInvalid) {
		return ExitRefused
	}
	return ExitFailed
}
