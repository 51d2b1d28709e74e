// Command pimentoctl is the operators' command-line tool. It generates, validates and submits fleet configurations, shows the state of
// the fleet, and controls drains and rollouts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pimentohead/pimentohead/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args[1:], ctl.Environment{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv})
}
