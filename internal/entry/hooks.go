package entry

import "context"

// Controller is a duty that runs while the entry runs, such as the rollout controller.
type Controller interface {
	Run(ctx context.Context) error
}

// Hooks are the parts of the entry that need its own parts first. Nil parts are left out.
type Hooks struct {
	// Controllers use Table, Holder and Send.
	Controllers []Controller
	// LeavingInstances returns the IDs that the platform's instance list shows as leaving.
	LeavingInstances func(ctx context.Context) (map[string]bool, error)
}
