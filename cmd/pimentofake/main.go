// Command pimentofake runs one fake of a platform service or of an upstream, for tests and demonstrations.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pimentohead/pimentohead/internal/fake"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	headerTimeout = 10 * time.Second
	// weightStoreRequestsPerSecond is the default rate limit of an origin that acts as the weight store.
	weightStoreRequestsPerSecond = 50
	usage                        = "usage: pimentofake store|origin|list|engine|service [flags]"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	flags := flag.NewFlagSet("pimentofake "+args[0], flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:0", "listen `address`")
	// Each function registers the flags of one fake and returns its constructor, which is called after the flags are parsed.
	registerFlags, ok := map[string]func(*flag.FlagSet) func() (http.Handler, error){
		"store": storeFlags, "origin": originFlags, "list": listFlags, "engine": engineFlags, "service": serviceFlags,
	}[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	newHandler := registerFlags(flags)
	if err := flags.Parse(args[1:]); err != nil {
		return exitUsage
	}
	if err := serve(*address, newHandler); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

// serve runs until SIGTERM or SIGINT. It then closes open connections without waiting for requests, as a stopped platform service does.
func serve(address string, newHandler func() (http.Handler, error)) error {
	handler, err := newHandler()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func storeFlags(flags *flag.FlagSet) func() (http.Handler, error) {
	var config fake.StoreConfig
	flags.Float64Var(&config.WritesPerSecond, "writes", 400, "writes a second")
	flags.Float64Var(&config.ReadsPerSecond, "reads", 2000, "reads a second")
	return func() (http.Handler, error) { return fake.NewStore(config), nil }
}

func originFlags(flags *flag.FlagSet) func() (http.Handler, error) {
	var config fake.OriginConfig
	weights := flags.Bool("weights", false, "act as the rate-limited weight store")
	flags.Int64Var(&config.BytesPerSecond, "bandwidth", 0, "bytes a second over all connections, 0 for no limit")
	flags.Float64Var(&config.RequestsPerSecond, "requests", 0, "requests a second, 0 for no limit (weight store: 50)")
	return func() (http.Handler, error) {
		if *weights && config.RequestsPerSecond == 0 {
			config.RequestsPerSecond = weightStoreRequestsPerSecond
		}
		return fake.NewOrigin(config), nil
	}
}

func listFlags(flags *flag.FlagSet) func() (http.Handler, error) {
	lag := flags.Duration("lag", 0, "time until a change appears in the list")
	return func() (http.Handler, error) { return fake.NewInstanceList(*lag), nil }
}

func engineFlags(flags *flag.FlagSet) func() (http.Handler, error) {
	var config fake.EngineConfig
	flags.IntVar(&config.MaxBatch, "max-batch", 16, "requests that run at once")
	flags.DurationVar(&config.TokenTime, "token-time", 5*time.Millisecond, "time of one decoding step for a batch of one request")
	flags.Float64Var(&config.BatchSlowdown, "batch-slowdown", 0.02, "fraction of the token time that each further request adds to a step")
	flags.DurationVar(&config.PrefillTime, "prefill-time", 50*time.Microsecond, "time for each prompt token")
	flags.IntVar(&config.PrefixBlocks, "prefix-blocks", 256, "size of the prefix cache in blocks of 256 bytes")
	flags.DurationVar(&config.LoadTime, "load-time", 200*time.Millisecond, "time of a load after all chunks are read")
	flags.DurationVar(&config.StatusLag, "status-lag", time.Second, "age of the reported load figures")
	flags.BoolVar(&config.Fencing, "fencing", false, "refuse loads with an old fencing token")
	flags.StringVar(&config.Token, "token", "", "bearer token that /control requires")
	flags.StringVar(&config.Version, "version", "", "version that is loaded at the start")
	journal := flags.String("journal", "", "journal `file`")
	return func() (http.Handler, error) {
		var err error
		if config.Journal, err = fake.OpenJournal(*journal); err != nil {
			return nil, err
		}
		config.Exit = os.Exit
		return fake.NewEngine(config)
	}
}

func serviceFlags(flags *flag.FlagSet) func() (http.Handler, error) {
	var config fake.ServiceConfig
	flags.DurationVar(&config.Duration, "duration", 5*time.Millisecond, "execution time of an order")
	journal := flags.String("journal", "", "journal `file`")
	return func() (http.Handler, error) {
		var err error
		if config.Journal, err = fake.OpenJournal(*journal); err != nil {
			return nil, err
		}
		config.Exit = os.Exit
		return fake.NewService(config), nil
	}
}
