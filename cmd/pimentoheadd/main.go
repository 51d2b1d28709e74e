// Command pimentoheadd is the daemon of a fleet's nodes. Its settings select the role, entry or agent.
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

// gcPercent is the GOGC value of processes that hold no weights: the heap growth, in per cent, that triggers the next garbage
// collection. Their live heap is a few megabytes; with the default of 100, collections are so frequent that they take a tenth of
// the processor time.
const gcPercent = 400

// maxProcs is the upper bound of GOMAXPROCS. More processors make garbage collection and goroutine wake-ups more expensive without
// a gain for the load of one node: with 10, memory and processor time per request were higher.
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
  pimentoheadd platform entry                run with the settings file that the platform provides; also "platform agent"

Exit codes:
  0  clean stop
  1  runtime failure
  2  usage
  3  settings refused

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	// A SIGHUP that nothing receives ends the process, so this comes before anything else.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if len(args) > 0 && args[0] == "platform" {
		return runOnPlatform(args[1:], hangups, stdout, stderr)
	}
	flags := flag.NewFlagSet("pimentoheadd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsPath := flags.String("config", "", "settings `file` (TOML)")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
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
	case *settingsPath == "" || flags.NArg() > 0:
		_, _ = fmt.Fprintln(stderr, "exactly one settings file is required: pimentoheadd -config FILE")
		return exitUsage
	}
	s, err := settings.Load(*settingsPath)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if *checkOnly {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(s, hangups, telemetry.NewLogger(stderr, s.LogLevel).WithValues("node", s.ID))
}

// logHangups logs each SIGHUP and changes nothing: the settings that a process uses are fixed while it runs, and it has to be restarted
// with new ones.
func logHangups(ctx context.Context, hangups <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("received SIGHUP, keeping the settings in use")
		}
	}
}

// tuneRuntime sets the garbage collection target and GOMAXPROCS, unless the environment sets GOGC or GOMAXPROCS.
func tuneRuntime(s *settings.Settings) {
	if s.Agent.Kind != string(config.KindModel) && os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxProcs))
	}
}

// serve runs the role until SIGTERM or SIGINT, then shuts down gracefully. A second signal terminates the process immediately.
func serve(s *settings.Settings, hangups <-chan os.Signal, log logr.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	go logHangups(ctx, hangups, log)
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
