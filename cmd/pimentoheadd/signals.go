package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
)

// catchHangups returns a channel of received SIGHUPs, whose default action would end the process.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// shutdownContext returns a context that ends at the first SIGTERM or SIGINT. It logs each SIGHUP, which changes nothing: the settings are
// fixed while the process runs. Orchestrators may repeat SIGTERM, so a repeated one does not cut off the graceful shutdown. A second
// SIGINT ends the process at once.
func shutdownContext(hangups <-chan os.Signal, log logr.Logger) (context.Context, context.CancelFunc) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-hangups:
				log.Info("received SIGHUP, keeping the settings in use")
			case received := <-stops:
				if received == syscall.SIGINT {
					signal.Reset(syscall.SIGINT) // The next one has its default action.
				}
				log.Info("received stop signal", "signal", received.String(), "repeated", ctx.Err() != nil)
				cancel()
			}
		}
	}()
	return ctx, cancel
}
