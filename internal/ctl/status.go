package ctl

import (
	"context"
	"flag"
	"fmt"

	"github.com/pimentohead/pimentohead/internal/admin"
)

func statusCommand() command {
	return command{
		name: "status", arguments: "[-o json]", summary: "shows nodes and rollouts as one entry sees them",
		examples: []string{"pimentoctl status -admin http://127.0.0.1:9001", "pimentoctl status -o json"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			return func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				if _, err := c.jsonOutput(); err != nil {
					return err
				}
				client, err := c.client()
				if err != nil {
					return err
				}
				status, err := client.status(ctx)
				if err != nil {
					return err
				}
				return c.print(status, func() [][]string { return statusRows(status) })
			}
		},
	}
}

func statusRows(s admin.Status) [][]string {
	rows := [][]string{
		{fmt.Sprintf("entry %s, revision %d, digest %s", s.Node, s.Revision, shortVersion(s.Digest))}, {""},
		{"NODE", "ROLE", "DATA CENTRE", "STATE", "REVISION", "POOL", "VERSION", "PROGRESS", "LOAD", "QUEUED"},
	}
	for _, n := range s.Nodes {
		progress, load, queued := loadColumns(n)
		rows = append(rows, []string{
			n.ID, string(n.Role), n.DataCentre, string(n.State), fmt.Sprint(n.Revision), n.Pool, shortVersion(n.Version),
			progress, load, queued,
		})
	}
	rows = append(rows, []string{""}, []string{"MODEL", "DATA CENTRE", "VERSION", "STATE", "LOADED", "MESSAGE"})
	for _, r := range s.Rollouts {
		rows = append(rows, []string{
			r.Model, r.DataCentre, shortVersion(r.Version), string(r.State), fmt.Sprintf("%d/%d", r.Loaded, r.Replicas), r.Message,
		})
	}
	return rows
}

// loadColumns formats the progress, the load and the queue length of a node. Each is "-" when Limit is 0: entries have no load, and
// an entry does not know the load of agents in other data centres.
func loadColumns(n admin.NodeStatus) (progress, load, queued string) {
	if n.Limit == 0 {
		return "-", "-", "-"
	}
	progress = "-"
	if n.Model != "" {
		progress = fmt.Sprintf("%.0f%%", n.Progress*100)
	}
	return progress, fmt.Sprintf("%d/%d", n.InFlight, n.Limit), fmt.Sprint(n.Queued)
}
