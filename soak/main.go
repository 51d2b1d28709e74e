// Command soak runs the real programs as separate processes on loopback against stand-ins of the platform, injects faults from
// outside, and checks the promises from what callers and upstreams see.
//
//	go run ./soak -seeds 50            fifty runs with seeds 1 to 50
//	go run ./soak -first 7 -seeds 1    one run again; its logs are kept when it fails
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
	exitBroken = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	first := flags.Uint64("first", 1, "first `seed`")
	seeds := flags.Int("seeds", 1, "number of seeds")
	length := flags.Duration("length", 12*time.Second, "time of faults in one run")
	logs := flags.String("logs", "", "`directory` for the logs of failed runs; empty keeps none")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	defer testbed.RemoveBinaries()
	broken := 0
	for seed := *first; seed < *first+uint64(max(*seeds, 0)); seed++ {
		findings, summary, err := Play(seed, *length, *logs)
		switch {
		case err != nil:
			fmt.Printf("seed %d could not be played: %v\n", seed, err)
			broken++
		case len(findings) > 0:
			broken++
			fmt.Printf("seed %d BROKEN: %s\n", seed, summary)
			for _, f := range findings {
				fmt.Printf("  %s\n", f)
			}
		default:
			fmt.Printf("seed %d ok: %s\n", seed, summary)
		}
	}
	fmt.Printf("%d seeds, %d broken\n", *seeds, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitOK
}
