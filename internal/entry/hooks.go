package entry

import "context"

// Controller is a background task, such as a rollout controller.
type Controller interface {
	// Run runs until ctx ends. An error that it returns before that is logged.
	Run(ctx context.Context) error
}

// Hooks are optional parts that are created after the entry, because they use its parts. Nil fields are ignored.
type Hooks struct {
	// Controllers run while the entry runs. They use the Table, the Holder and Send of the entry.
	Controllers []Controller
	// LeavingInstances returns the IDs of the instances that the platform's instance list marks as leaving.
	LeavingInstances func(ctx context.Context) (map[string]bool, error)
}
