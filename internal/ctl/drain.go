package ctl

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/message"
)

// drainFlags holds the flags of the subcommand drain.
type drainFlags struct {
	agent        string
	cancel, wait bool
	waitTimeout  time.Duration
}

func drainCommand() command {
	return command{
		name: "drain", arguments: "-agent AGENT [-cancel] [-wait]", summary: "takes one upstream out of service, or back with -cancel",
		examples: []string{"pimentoctl drain -agent agent-3 -wait", "pimentoctl drain -agent agent-3 -cancel"},
		setup: func(flags *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			c.outputFlag(flags)
			c.adminFlags(flags)
			f := &drainFlags{}
			flags.StringVar(&f.agent, "agent", "", "ID of the `agent`")
			flags.BoolVar(&f.cancel, "cancel", false, "end the drain")
			flags.BoolVar(&f.wait, "wait", false, "wait until the upstream has no request, with -cancel until it serves")
			flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "time after which waiting ends")
			return func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return usageError("unexpected argument %q", args[0])
				}
				if f.agent == "" {
					return usageError("-agent is required")
				}
				return c.drain(ctx, f)
			}
		},
	}
}

func (c *invocation) drain(ctx context.Context, f *drainFlags) error {
	client, current, err := c.startEdit(ctx)
	if err != nil {
		return err
	}
	edit := addDrain
	if f.cancel {
		edit = removeDrain
	}
	text, err := edit(current.Text, f.agent)
	if err != nil {
		return err
	}
	if !f.cancel {
		c.warnUnlessConnected(ctx, client, f.agent)
	}
	accepted, err := c.submitEdit(ctx, client, current, text)
	if err != nil || !f.wait {
		return err
	}
	return c.waitFor(ctx, client, f.waitTimeout, func(s admin.Status) (string, bool, error) {
		return drainProgress(s, f, accepted.Revision)
	})
}

// warnUnlessConnected prints a warning when the agent is missing from the status: draining a misspelt name would have no effect.
func (c *invocation) warnUnlessConnected(ctx context.Context, client *client, agent string) {
	status, err := client.status(ctx)
	connected := slices.ContainsFunc(status.Nodes, func(n admin.NodeStatus) bool { return n.ID == agent })
	if err == nil && !connected {
		c.infof("warning: no agent %q is connected to entry %s", agent, status.Node)
	}
}

// drainProgress describes the state of the agent. done is set when the agent has the given revision or a later one in force and its
// upstream is leaving and has no requests or, if the drain is cancelled, serves again.
func drainProgress(s admin.Status, f *drainFlags, revision uint64) (line string, done bool, err error) {
	for _, n := range s.Nodes {
		if n.ID != f.agent {
			continue
		}
		line = fmt.Sprintf("%s is %s, %d queued, %d in flight, revision %d", n.ID, n.State, n.Queued, n.InFlight, n.Revision)
		if f.cancel {
			return line, n.Revision >= revision && n.State == message.StateServing, nil
		}
		idle := n.Queued == 0 && n.InFlight == 0
		return line, n.Revision >= revision && n.State == message.StateLeaving && idle, nil
	}
	return fmt.Sprintf("%s is not connected to entry %s", f.agent, s.Node), false, nil
}
