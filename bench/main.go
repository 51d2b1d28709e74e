// Command bench measures the system with real processes, and with fakes of the platform and of engines, on the loopback interface.
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

// Exit codes. exitMissed also stands for a scenario that could not be measured.
const (
	exitOK     = 0
	exitMissed = 1
	exitUsage  = 2
)

// maxRunTime bounds one scenario, including the start of its fleet.
const maxRunTime = 45 * time.Second

// options are the flags common to all scenarios.
type options struct {
	seed     int64
	baseline bool
	verbose  bool
	// plot is the directory for plots; no plots are written if it is empty.
	plot string
	// nodes is the number of nodes in scenario control and of agents in scenario rollout; 0 selects the default of the scenario.
	nodes int
}

// scenario measures one aspect of the system. run reports its measures through r and returns an error only if it could not measure.
type scenario struct {
	description string
	run         func(ctx context.Context, opts options, r *report) error
}

// scenarios holds the scenarios by name. The init functions of the scenario files register them.
var scenarios = map[string]scenario{}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	name := flags.String("scenario", "", "scenario to run: "+strings.Join(scenarioNames(), ", "))
	var opts options
	flags.Int64Var(&opts.seed, "seed", 1, "seed of the load and of the faults")
	flags.BoolVar(&opts.baseline, "baseline", false, "also run with the measured mechanism switched off")
	flags.BoolVar(&opts.verbose, "v", false, "print the logs of the processes to standard error")
	flags.StringVar(&opts.plot, "plot", "", "`directory` for plots (scenario heavy)")
	flags.IntVar(&opts.nodes, "n", 0,
		"number of nodes (scenario control) or of agents (scenario rollout); 0 selects the scenario's default")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	selected, ok := scenarios[*name]
	if !ok {
		_, _ = fmt.Fprintf(stderr, "unknown scenario %q; one of:\n", *name)
		for _, valid := range scenarioNames() {
			_, _ = fmt.Fprintf(stderr, "  %-10s %s\n", valid, scenarios[valid].description)
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

// scenarioNames returns the names of all scenarios in alphabetical order.
func scenarioNames() []string {
	out := make([]string, 0, len(scenarios))
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
