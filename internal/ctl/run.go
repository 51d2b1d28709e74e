// Package ctl implements the subcommands of pimentoctl.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Environment holds the process resources that subcommands use.
type Environment struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	// WaitInterval is the polling interval of commands that wait. Default 1 s.
	WaitInterval time.Duration
}

// command describes a subcommand.
type command struct {
	name, arguments, summary string
	examples                 []string
	// setup defines the flags and returns the function that runs the subcommand with the positional arguments.
	setup func(flags *flag.FlagSet, c *invocation) func(ctx context.Context, args []string) error
}

// invocation holds the environment and the shared flags of one run of a subcommand.
type invocation struct {
	env     Environment
	options options
}

func commands() []command {
	return []command{
		initCommand(), generateCommand(), explainCommand(), explainRequestCommand(), validateCommand(), diffCommand(), submitCommand(),
		statusCommand(), rolloutCommand(), drainCommand(), historyCommand(), keyCommand(), explainPlacementCommand(),
	}
}

// Run runs the subcommand that args[0] names and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) int {
	if len(args) == 0 {
		usage(env.Stderr)
		return ExitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(env.Stdout)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return reportError(env, c.name, c.run(ctx, args[1:], env))
		}
	}
	return reportError(env, args[0], usageError("unknown subcommand, see pimentoctl -help"))
}

func (c command) run(ctx context.Context, args []string, env Environment) error {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	inv := &invocation{env: env}
	run := c.setup(flags, inv)
	positional, err := parseInterspersed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		c.help(env.Stdout, flags)
		return nil
	}
	if err != nil {
		return usageError("%v", err)
	}
	return run(ctx, positional)
}

// parseInterspersed parses flags before and after positional arguments, and returns the latter.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func (c command) help(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "Usage: pimentoctl %s %s\n\n%s\n\nFlags:\n", c.name, c.arguments, c.summary)
	flags.SetOutput(w)
	flags.PrintDefaults()
	fmt.Fprintln(w, "\nExamples:")
	for _, example := range c.examples {
		fmt.Fprintf(w, "  %s\n", example)
	}
}

func usage(w io.Writer) {
	fmt.Fprint(w, "pimentoctl generates, checks and submits fleet configurations and shows the fleet.\n\nSubcommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-15s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, `
pimentoctl SUBCOMMAND -help shows flags and examples.

Environment:
  PIMENTOCTL_ADMIN  admin URLs of entries, separated by commas
  PIMENTOCTL_TOKEN  operator token

Exit codes:
  0  ok
  1  failed: any other failure, such as no answer or an unknown outcome
  2  usage: the command line is wrong, nothing was submitted
  3  refused: a document or a submission has faults, nothing was changed
  4  conflict: another change was accepted first, nothing was changed, except when a later change ends rollout -wait
`)
}
