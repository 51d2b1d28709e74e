package main

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/agent"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// runAgent runs the agent role until ctx ends, then shuts down gracefully.
func runAgent(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	a, err := agent.New(agent.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
