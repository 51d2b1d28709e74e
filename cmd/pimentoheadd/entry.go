package main

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// runEntry runs the entry role until ctx ends, then shuts down gracefully.
func runEntry(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	e, err := entry.New(entry.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
