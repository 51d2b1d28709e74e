package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// forwardedPoll is the interval at which a leaving entry checks for forwarded requests in progress.
const forwardedPoll = 20 * time.Millisecond

// Run serves until ctx ends or a listener fails, then shuts down gracefully. It must be called once.
func (e *Entry) Run(ctx context.Context) error {
	// Duties outlive ctx: links serve until the last request has ended.
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer e.duties.Wait()
	defer stop()
	failed := make(chan error, 3)
	callers, admin := e.callerServer(base), e.adminServer()
	e.serve(failed, func() error { return callers.Serve(e.limitConnections()) })
	e.serve(failed, func() error { return admin.Serve(e.secure(e.adminListener)) })
	e.spawn(base, "links", func(ctx context.Context) error { return e.acceptLinks(ctx) })
	e.spawnDuties(base)
	e.log.Info("entry is running", "data_centre", e.settings.DataCentre, "callers", e.CallerAddress(), "links", e.LinkAddress(),
		"admin", e.AdminAddress())
	var err error
	select {
	case <-ctx.Done():
		err = e.drain(callers)
	case err = <-failed:
		_ = callers.Close()
	}
	stop()
	_ = admin.Close()
	e.closeListeners()
	e.links.closeAll()
	return err
}

func (e *Entry) serve(failed chan<- error, serve func() error) {
	e.duties.Add(1)
	go func() {
		defer e.duties.Done()
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

func (e *Entry) spawnDuties(ctx context.Context) {
	e.spawnDialers(ctx)
	e.spawn(ctx, "peer views", e.runViews)
	e.spawn(ctx, "startup", e.runStartup)
	e.spawn(ctx, "crash reports", e.runCrashes)
	if e.hooks.LeavingInstances != nil {
		e.spawn(ctx, "instance list", e.runInstances)
	}
	e.spawn(ctx, "configuration", e.syncer.Run)
	e.spawn(ctx, "rollout", e.runRollout)
	for _, controller := range e.hooks.Controllers {
		e.spawn(ctx, "controller", controller.Run)
	}
}

// drain lets the balancer and other entries notice first, then waits for requests in progress.
func (e *Entry) drain(callers *http.Server) error {
	e.log.Info("graceful shutdown begins")
	e.leaving.Store(true)
	e.links.notifyStatus()
	time.Sleep(e.settle)
	ctx, stop := context.WithTimeout(context.Background(), e.settings.Shutdown.Timeout.Std())
	defer stop()
	err := callers.Shutdown(ctx)
	for err == nil && e.dispatcher.ForwardedInFlight() > 0 {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(forwardedPoll):
		}
	}
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "entry: requests in progress were cut off")
	}
	e.log.Info("graceful shutdown is complete")
	return nil
}
