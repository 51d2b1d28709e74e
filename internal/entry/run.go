package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// forwardedPollInterval is the interval at which an entry that shuts down checks for forwarded requests in progress.
	forwardedPollInterval = 20 * time.Millisecond
	// finalAnswerTime is the time for the responses to requests that the shutdown timeout has ended.
	finalAnswerTime = 500 * time.Millisecond
	// linkFlushTimeout limits the time for other entries to receive the last responses. They may be silent for a second or so.
	linkFlushTimeout = 2 * time.Second
)

// Run serves until ctx ends and then shuts down gracefully. If an HTTP server fails before that, Run stops at once and returns the
// server's error. It must be called once.
func (e *Entry) Run(ctx context.Context) error {
	// Background tasks outlive ctx: the links are needed until the last request has ended.
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer e.tasks.Wait()
	defer stop()
	serveErrs := make(chan error, 3)
	callerServer, adminServer := e.callerServer(tasksCtx), e.adminServer()
	e.serve(serveErrs, func() error { return callerServer.Serve(e.limitedCallerListener()) })
	e.serve(serveErrs, func() error { return adminServer.Serve(e.withTLS(e.adminListener)) })
	e.startTask(tasksCtx, "links", func(ctx context.Context) error { return e.acceptLinks(ctx) })
	e.startBackgroundTasks(tasksCtx)
	e.log.Info("entry is running", "data_centre", e.settings.DataCentre, "callers", e.CallerAddress(), "links", e.LinkAddress(),
		"admin", e.AdminAddress())
	var err error
	select {
	case <-ctx.Done():
		err = e.drain(callerServer)
	case err = <-serveErrs:
		_ = callerServer.Close()
	}
	stop()
	_ = adminServer.Close()
	e.closeListeners()
	e.links.closeAll()
	return err
}

// serve runs the serve function of an HTTP server in a goroutine and sends its error, unless the server was closed, to serveErrs.
func (e *Entry) serve(serveErrs chan<- error, serve func() error) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			serveErrs <- err
		}
	}()
}

// startBackgroundTasks starts all tasks except the HTTP servers and the link listener.
func (e *Entry) startBackgroundTasks(ctx context.Context) {
	e.startDialers(ctx)
	e.startTask(ctx, "peer views", e.broadcastViews)
	e.startTask(ctx, "startup", e.trackStartup)
	e.startTask(ctx, "crash reports", e.broadcastCrashes)
	if e.hooks.LeavingInstances != nil {
		e.startTask(ctx, "instance list", e.pollInstances)
	}
	e.startTask(ctx, "configuration", e.syncer.Run)
	e.startTask(ctx, "rollout", e.runRollout)
	for _, controller := range e.hooks.Controllers {
		e.startTask(ctx, "controller", controller.Run)
	}
}

// drain marks this entry as leaving, waits for the shutdown delay so that the load balancer and the other entries notice, then accepts
// no more connections and waits until the requests in progress have ended. When the shutdown timeout ends them, they get a final response,
// unless one has begun, and drain returns an error.
// It closes the connections itself: http.Server.Shutdown would also close those from which it has just read a request.
func (e *Entry) drain(callerServer *http.Server) error {
	e.log.Info("graceful shutdown begins")
	e.leaving.Store(true)
	e.links.notifyStatus()
	time.Sleep(e.shutdownDelay)
	ctx, stop := context.WithTimeout(context.Background(), e.settings.Shutdown.Timeout.Std())
	defer stop()
	_ = e.callerConns.CloseListener(ctx, e.callerListener)
	var err error
	if e.callerConns.Drain(ctx) > 0 {
		err = ctx.Err()
		e.answerRequests()
	}
	for err == nil && e.dispatcher.ForwardedInFlight() > 0 {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(forwardedPollInterval):
		}
	}
	_ = callerServer.Close()
	e.flushLinks()
	if err != nil {
		return errors.Wrap(err, "entry: requests in progress were cut off")
	}
	e.log.Info("graceful shutdown is complete")
	return nil
}

// flushLinks waits until the other entries have received the last responses to requests that they forwarded.
func (e *Entry) flushLinks() {
	ctx, stop := context.WithTimeout(context.Background(), linkFlushTimeout)
	defer stop()
	link.FlushAll(ctx, e.links.byRole(message.RoleEntry))
}

// answerRequests ends the requests in progress and waits for their responses.
func (e *Entry) answerRequests() {
	e.endRequests()
	ctx, stop := context.WithTimeout(context.Background(), finalAnswerTime)
	defer stop()
	e.callerConns.Drain(ctx)
}
