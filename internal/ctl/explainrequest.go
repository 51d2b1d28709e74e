package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/explain"
)

func explainRequestCommand() command {
	return command{
		name: "explain-request", arguments: "ID LOG...", summary: "shows from logs what happened to a request",
		examples: []string{
			"pimentoctl explain-request 9c41d07be2a35f68 edge-*.log side-*.log",
		},
		setup: func(_ *flag.FlagSet, c *invocation) func(context.Context, []string) error {
			return func(_ context.Context, args []string) error {
				if len(args) < 2 {
					return usageError("a request ID and at least one log are required")
				}
				return c.explainRequest(args[0], args[1:])
			}
		},
	}
}

func (c *invocation) explainRequest(id string, paths []string) error {
	var all []explain.Record
	for _, path := range paths {
		records, skipped, err := readLog(path)
		if err != nil {
			return err
		}
		if skipped > 0 {
			_, _ = fmt.Fprintf(c.env.Stderr, "%s: skipped %d lines that are not log records\n", path, skipped)
		}
		all = append(all, records...)
	}
	lines, err := explain.Timeline(all, id)
	if err != nil {
		return err
	}
	return explain.Write(c.env.Stdout, lines)
}

// readLog parses the log file at path. skipped is the number of lines that are not log records.
func readLog(path string) (records []explain.Record, skipped int, err error) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return explain.Read(file, path)
}
