// Command pimentoheadd is the daemon. Its settings select the role entry or agent.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// gcPercent is the growth of the heap between two garbage collections in processes that hold no weights. Their live heap is a
// few megabytes, which at the usual 100 makes collections so frequent that they take a tenth of the processor time.
const gcPercent = 400

// maxProcs bounds the processors that the runtime uses. More of them make garbage collection and wake-ups dearer without a gain for
// the load of one node: with 10, memory and processor time per request were higher.
const maxProcs = 4

// version is set by the linker with -ldflags "-X main.version=...".
var version = "dev"

const help = `pimentoheadd serves the entry or the agent role of a fleet, as its settings say.

Usage:
  pimentoheadd -config FILE [-check]

Examples:
  pimentoheadd -config entry-1.toml          run until SIGTERM or SIGINT, then shut down gracefully
  pimentoheadd -config entry-1.toml -check   check the settings and exit
  pimentoheadd -version
  pimentoheadd platform entry                run on the users' platform, with its settings; also "platform agent"

Exit codes:
  0  clean stop
  1  runtime failure
  2  usage
  3  settings refused

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "platform" {
		return runOnPlatform(args[1:], stdout, stderr)
	}
	flags := flag.NewFlagSet("pimentoheadd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings `file` (TOML)")
	check := flags.Bool("check", false, "check the settings and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() {
		_, _ = fmt.Fprint(flags.Output(), help)
		flags.PrintDefaults()
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case *showVersion:
		_, _ = fmt.Fprintln(stdout, "pimentoheadd", version)
		return exitOK
	case *path == "" || flags.NArg() > 0:
		_, _ = fmt.Fprintln(stderr, "exactly one settings file is required: pimentoheadd -config FILE")
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(s, telemetry.NewLogger(stderr, s.LogLevel).WithValues("node", s.ID))
}

// tuneRuntime sets what the operator has not set in the environment.
func tuneRuntime(s *settings.Settings) {
	if s.Agent.Kind != string(config.KindModel) && os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxProcs))
	}
}

// serve runs the role until SIGTERM or SIGINT. A second signal ends the process at once.
func serve(s *settings.Settings, log logr.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	tuneRuntime(s)
	runRole := runEntry
	if s.Role == message.RoleAgent {
		runRole = runAgent
	}
	if err := runRole(ctx, s, log); err != nil {
		log.Error(err, "stopped with a failure", "role", s.Role)
		return exitFailure
	}
	return exitOK
}
