package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// orderTimeout is how long a load order may run before it is repeated.
	orderTimeout = 8 * time.Second
	// maxSessions is how often an order is tried whose session ends before it: upstreams close some connections after an answer.
	maxSessions = 3
)

// errLoadedMeanwhile means that an earlier order, whose outcome was unknown, was carried out.
var errLoadedMeanwhile = errors.New("loader: load not ordered because the version is loaded")

// errTooLate means that a version was not loaded because it may not be used any more once it is loaded.
var errTooLate = errors.New("loader: load not ordered because the version may not be used any more when it completes")

// waitTurn waits until an upstream that serves another version may interrupt its requests. DrainLead before that, it reports the
// upstream as swapping, verifies the staged chunks once more, and stages corrupt ones again. An upstream without a version need
// not wait.
func (l *Loader) waitTurn(ctx context.Context, target Target) error {
	if !l.ServesAnyVersion(target.Model) {
		return nil
	}
	turn := target.turnAt(time.Now())
	l.setNextTurn(turn)
	pause.For(ctx, time.Until(turn.Add(-target.DrainLead)))
	if ctx.Err() == nil {
		l.setSwapping(true)
		l.pollOnce(ctx)
		if err := l.stage(ctx, target); err != nil {
			return err
		}
		pause.For(ctx, time.Until(turn))
	}
	return ctx.Err()
}

// load sends the load order and waits until the load has completed. An order with an unknown outcome is treated as accepted. The call goes
// on when ctx ends, so that the order is not carried out while a newer version is staged. Without an order, it returns nil if the upstream
// has loaded the version meanwhile, or an error of order.
func (l *Loader) load(ctx context.Context, target Target, startedAtMillis int64) error {
	var ordersBefore int64
	var err error
	for range maxSessions {
		if ordersBefore, err = l.order(ctx, target, startedAtMillis); !errors.Is(err, ErrSessionEnded) {
			break
		}
		l.log.Info("load not ordered, connection ended", "model", target.Model, "version", target.Version, "born", startedAtMillis)
	}
	switch {
	case errors.Is(err, errLoadedMeanwhile):
		return nil
	case errors.Is(err, ErrUnknownOutcome):
		l.recordUnanswered()
		l.log.Info("load order outcome unknown", "cause", err.Error())
	case err != nil:
		return err
	}
	return l.awaitLoad(ctx, target, ordersBefore)
}

// order sends the load order to the process of the upstream that started at startedAtMillis, whose staged data was verified, and returns
// that process's count of orders before. It sends none, and returns errAbandoned, if another process answers, errLoadedMeanwhile or
// errNewerLoaded if the version or a newer one is loaded, and errTooLate if the version could not be used any more.
func (l *Loader) order(ctx context.Context, target Target, startedAtMillis int64) (ordersBefore int64, err error) {
	session := l.engine.NewSession()
	defer session.Close()
	report, err := session.Report(ctx)
	switch {
	case err != nil:
		return 0, err
	case ctx.Err() != nil:
		return 0, ctx.Err()
	case report.StartedAtMillis != startedAtMillis:
		return 0, errAbandoned
	case report.NewestCompleteVersion(target.Model, target.Layers) > target.Version:
		return 0, errNewerLoaded
	case report.HasVersion(target.Model, target.Version, target.Layers):
		return 0, errLoadedMeanwhile
	case target.isTooLate(time.Now()):
		return 0, errTooLate
	}
	order := Order{Model: target.Model, Version: target.Version, Interrupt: true, OrdersAccepted: report.OrdersAccepted}
	l.log.Info("load ordered", "model", target.Model, "version", target.Version, "born", startedAtMillis,
		"orders_before", report.OrdersAccepted, "active", report.Active, "queued", report.Queued)
	return report.OrdersAccepted, session.Load(context.WithoutCancel(ctx), order)
}

// awaitLoad waits until the version is loaded. It returns an error if the order ended without loading the version, the upstream
// stopped answering, or orderTimeout has passed. The order counts as ended if the upstream reports no order in progress more than
// 1 s after the wait began. ordersBefore is the upstream's count of accepted orders before this order.
func (l *Loader) awaitLoad(ctx context.Context, target Target, ordersBefore int64) error {
	started := time.Now()
	for time.Since(started) < orderTimeout {
		pause.For(ctx, loadingInterval)
		l.pollOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report, answering := l.current()
		switch {
		case !answering:
			return errors.New("loader: upstream stopped answering during a load")
		case report.HasVersion(target.Model, target.Version, target.Layers):
			l.log.Info("version loaded", "model", target.Model, "version", target.Version,
				"took_ms", time.Since(started).Milliseconds(), "after_naming_ms", target.sinceNaming().Milliseconds())
			return nil
		case !report.OrderRunning && time.Since(started) > time.Second:
			return errors.Newf("loader: load order ended without loading the version (orders accepted: %d before, %d after)",
				ordersBefore, report.OrdersAccepted)
		}
	}
	return errors.New("loader: load order timed out")
}
