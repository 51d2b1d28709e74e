package main

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// runEntry runs the entry role until ctx ends, then shuts down gracefully.
func runEntry(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	client := store.NewClient(s.Platform.Store, s.Platform.StoreCallsPerSecond, log)
	defer client.Close()
	e, err := entry.New(entry.Options{Settings: s, Log: log, Store: client})
	if err != nil {
		return err
	}
	var hooks entry.Hooks
	if s.Platform.InstanceList != "" {
		hooks.LeavingInstances = leavingInstances(instancelist.NewClient(s.Platform.InstanceList))
	}
	e.SetHooks(hooks)
	return e.Run(ctx)
}

// leavingInstances returns a function that reads the instance list and returns the set of IDs of leaving instances.
func leavingInstances(client *instancelist.Client) func(context.Context) (map[string]bool, error) {
	return func(ctx context.Context) (map[string]bool, error) {
		instances, err := client.List(ctx)
		if err != nil {
			return nil, err
		}
		leaving := make(map[string]bool)
		for _, instance := range instances {
			if instance.State == instancelist.StateLeaving {
				leaving[instance.ID] = true
			}
		}
		return leaving, nil
	}
}
