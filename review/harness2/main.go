//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// cases maps the number of a case to the function that plays it.
var cases = map[int]func(l *lab, trouble bool) (broken bool, err error){6: cutCase, 7: lostConfigCase, 9: verdictCase, 10: noTenantCase}

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

func main() {
	number := flag.Int("case", 0, "case to play")
	daemon := flag.String("daemon", "", "path of the daemon")
	record := flag.String("record", "record.txt", "file to which the case writes what was sent, answered and run")
	server := flag.String("server", "", "stand-in to run instead of a case")
	address := flag.String("address", "", "address of the stand-in")
	id := flag.String("id", "", "ID of the stand-in")
	flag.Parse()
	if *server != "" {
		if err := serveStandIn(*server, *address, *id); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(play(*number, *daemon, *record))
}

// serveStandIn runs a stand-in until the process is ended.
func serveStandIn(kind, address, id string) error {
	switch kind {
	case "desk":
		return serveDesk(address, id)
	case "unframed":
		return serveUnframed(address, id)
	default:
		return fmt.Errorf("unknown stand-in %q", kind)
	}
}

// play plays a case and returns the exit code.
func play(number int, daemon, record string) int {
	run := cases[number]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %d\n", number)
		return exitNotRun
	}
	l, err := newLab(daemon, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := run(l, trouble)
	switch {
	case err != nil:
		l.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		l.logf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	l.logf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
