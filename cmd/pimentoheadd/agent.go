package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/settings"
)

// errNoAgent is returned until package agent is wired here.
var errNoAgent = errors.New("the agent role is not part of this build")

// runAgent runs the agent role until ctx ends, then shuts down gracefully.
func runAgent(_ context.Context, _ *settings.Settings, _ logr.Logger) error { return errNoAgent }
