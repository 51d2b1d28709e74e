// Command bench measures the system with real processes and stand-ins on loopback.
//
// It prints one JSON object per line and exits with status 1 when a measure misses its target.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

// Exit codes.
const (
	exitOK     = 0
	exitMissed = 1
	exitUsage  = 2
)

// maxRunTime bounds one scenario including its start.
const maxRunTime = 45 * time.Second

// options are the flags common to all scenarios.
type options struct {
	seed     int64
	baseline bool
	verbose  bool
	// plot is a directory for plots, empty for none.
	plot string
	// nodes is the size of the fleet, 0 for the scenario's own.
	nodes int
}

// scenario measures one aspect. It reports through r and returns an error only when it could not measure.
type scenario struct {
	description string
	run         func(ctx context.Context, opts options, r *report) error
}

// scenarios is filled by the init functions of the scenario files.
var scenarios = map[string]scenario{}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	name := flags.String("scenario", "", "scenario to run: "+strings.Join(names(), ", "))
	var opts options
	flags.Int64Var(&opts.seed, "seed", 1, "seed of the load and of the faults")
	flags.BoolVar(&opts.baseline, "baseline", false, "also run with the measured mechanism switched off")
	flags.BoolVar(&opts.verbose, "v", false, "print the logs of the processes to standard error")
	flags.StringVar(&opts.plot, "plot", "", "`directory` for plots (scenario heavy)")
	flags.IntVar(&opts.nodes, "n", 0, "size of the fleet; 0 is the scenario's own")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	selected, ok := scenarios[*name]
	if !ok {
		_, _ = fmt.Fprintf(stderr, "unknown scenario %q; one of:\n", *name)
		for _, known := range names() {
			_, _ = fmt.Fprintf(stderr, "  %-10s %s\n", known, scenarios[known].description)
		}
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	r := &report{scenario: *name, out: stdout}
	if err := selected.run(ctx, opts, r); err != nil {
		_, _ = fmt.Fprintf(stderr, "scenario %s: %v\n", *name, err)
		return exitMissed
	}
	if r.missed {
		return exitMissed
	}
	return exitOK
}

func names() []string {
	out := make([]string, 0, len(scenarios))
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
