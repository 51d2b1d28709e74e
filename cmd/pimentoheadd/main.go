// Command pimentoheadd is the daemon. Its settings select the role entry or agent.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pimentohead/pimentohead/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitUsage    = 2
	exitSettings = 3
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("pimentoheadd", flag.ContinueOnError)
	path := flags.String("config", "", "settings `file` (TOML)")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if _, err := settings.Load(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
	}
	return exitOK
}
