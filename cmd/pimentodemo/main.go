// Command pimentodemo starts a small fleet of real processes on loopback, rolls out a model version, serves requests, and
// reports whether everything went as expected.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// demoTimeout bounds all steps except the shutdown. Building the programs on a new machine takes most of it.
const demoTimeout = 3 * time.Minute

const help = `pimentodemo starts a small fleet on loopback, rolls out a model version, serves requests and reports the results.
It needs Go and Linux, and runs in the repository's directory.

Usage:
  go run ./cmd/pimentodemo [-keep] [-logs DIRECTORY]

Exit codes:
  0  everything went as expected
  1  a step failed
  2  usage

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("pimentodemo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	keep := flags.Bool("keep", false, "leave the fleet running until Ctrl-C and print addresses and sample commands")
	logs := flags.String("logs", "", "write the logs of all processes into this `directory`")
	flags.Usage = func() {
		_, _ = fmt.Fprint(flags.Output(), help)
		flags.PrintDefaults()
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil, flags.NArg() > 0:
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer testbed.RemoveBinaries()
	d := &demo{report: &report{out: stdout}}
	defer d.close()
	d.runSteps(ctx)
	if *keep && d.bed != nil && ctx.Err() == nil {
		d.printSamples()
		<-ctx.Done()
		stop()
	}
	d.stopNodes()
	if *logs != "" && d.bed != nil {
		if err := d.writeLogs(*logs); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
		}
	}
	if d.report.finish() {
		return exitOK
	}
	return exitFailure
}
