// Command soak runs the real programs as separate processes on loopback against stand-ins for the platform, injects faults from
// outside the processes, and checks the promises of docs/promises.md against the responses that callers receive and the requests
// that upstreams run.
//
//	go run ./soak -seeds 50            fifty runs with seeds 1 to 50
//	go run ./soak -first 7 -seeds 1    repeats one run; add -logs DIR to keep its logs when it fails
//	go run ./soak -late-writes         late writes to the store and restarts of all nodes instead of the mix of faults
//	go run ./soak -evacuations         evacuations of data centres instead of the mix of faults
//	go run ./soak -keys                lists of customers that become empty, null or missing instead of the mix of faults
//	go run ./soak -scale 8             a run of 64 instead of 8 processes and with 96 instead of 12 callers
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	first := flags.Uint64("first", 1, "first `seed`")
	seeds := flags.Int("seeds", 1, "number of seeds")
	length := flags.Duration("length", 12*time.Second, "time during which one run injects faults")
	scale := flags.Int("scale", 1, "`factor` of the number of processes (8), servers (6) and callers (12)")
	lateWrites := flags.Bool("late-writes", false, "late writes to the store and restarts of all nodes instead of the mix of faults")
	evacuations := flags.Bool("evacuations", false, "evacuations of data centres instead of the mix of faults")
	keys := flags.Bool("keys", false, "lists of customers that become empty, null or missing instead of the mix of faults")
	logs := flags.String("logs", "", "`directory` for the logs of failed runs; empty keeps none")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	defer testbed.RemoveBinaries()
	failed := 0
	for seed := *first; seed < *first+uint64(max(*seeds, 0)); seed++ {
		findings, summary, err := runSeed(seed, runOptions{length: *length, scale: max(*scale, 1), logDir: *logs, lateWrites: *lateWrites,
			evacuations: *evacuations, keys: *keys})
		switch {
		case err != nil:
			fmt.Printf("seed %d could not be run: %v\n", seed, err)
			failed++
		case len(findings) > 0:
			failed++
			fmt.Printf("seed %d FAILED: %s\n", seed, summary)
			for _, f := range findings {
				fmt.Printf("  %s\n", f)
			}
		default:
			fmt.Printf("seed %d ok: %s\n", seed, summary)
		}
	}
	fmt.Printf("%d seeds, %d failed\n", *seeds, failed)
	if failed > 0 {
		return exitFailed
	}
	return exitOK
}
