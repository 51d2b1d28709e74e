//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each file of a case adds its own. A case returns whether its rule held.
var cases = map[string]func(rec *record, trouble bool) bool{}

// cleanUp ends what the case has started. It is set once there is something to end.
var cleanUp = func() {}

// cannotRun ends the program, and what it has started, when the case cannot run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	cleanUp()
	os.Exit(exitCannotRun)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun(err)
	}
	rec := &record{file: file, start: time.Now()}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun(fmt.Errorf("ended by %v", <-interrupts)) }()
	held := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	_ = file.Close()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
